package session

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/result"
)

const (
	// newSession is the header value that requests a token.
	newSession = "new"
	// tokenPrefix identifies tokens; "s1" is the version of their format.
	tokenPrefix = "s1."
	// tokenFields are the prefix, the id, the version, the issue time in base 36
	// seconds since the Unix epoch, and the HMAC.
	tokenFields  = 5
	maxTokenLen  = 1024
	maxNameLen   = 128
	minKeyBytes  = 16
	sessionIDLen = 16
	// cohortBits is the precision of a cohort, equal to that of a float64.
	cohortBits = 53
)

// strictBase64 rejects alternative encodings of the same HMAC.
var strictBase64 = base64.RawURLEncoding.Strict()

func badSession(format string, args ...any) error {
	return result.New(result.BadSession, format, args...)
}

// newID returns a random session id.
func newID() string {
	var raw [sessionIDLen]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// escape encodes text without dots, which separate the fields.
func escape(text string) string {
	return strings.ReplaceAll(url.QueryEscape(text), ".", "%2E")
}

// mac returns the HMAC of the organisation and the cleartext fields.
func mac(key []byte, organisation, clear string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(organisation))
	h.Write([]byte{0})
	h.Write([]byte(clear))
	return h.Sum(nil)
}

// sign returns the token of a session.
func sign(key []byte, organisation, id string, ref config.VersionRef, now time.Time) string {
	clear := tokenPrefix + id + "." + escape(ref.String()) + "." + strconv.FormatInt(now.Unix(), 36)
	return clear + "." + strictBase64.EncodeToString(mac(key, organisation, clear))
}

// verify checks a token against all keys and returns its fields.
func verify(keys [][]byte, organisation, token string) (id string, ref config.VersionRef, issued time.Time, err error) {
	fields := strings.Split(token, ".")
	if len(token) > maxTokenLen || len(fields) != tokenFields {
		return "", ref, issued, badSession("the session token is malformed")
	}
	sum, err := strictBase64.DecodeString(fields[4])
	if err != nil {
		return "", ref, issued, badSession("the session token is malformed")
	}
	clear := strings.Join(fields[:4], ".")
	valid := false
	for _, key := range keys {
		valid = hmac.Equal(sum, mac(key, organisation, clear)) || valid
	}
	if !valid {
		return "", ref, issued, badSession("the session token is not valid for this organisation")
	}
	return parseFields(fields)
}

// parseFields parses the fields of a token with a valid HMAC.
func parseFields(fields []string) (id string, ref config.VersionRef, issued time.Time, err error) {
	text, err := url.QueryUnescape(fields[2])
	if err == nil {
		ref, err = config.ParseVersionRef(text)
	}
	var seconds int64
	if err == nil {
		seconds, err = strconv.ParseInt(fields[3], 36, 64)
	}
	if err != nil {
		return "", ref, issued, badSession("the session token is malformed")
	}
	return fields[1], ref, time.Unix(seconds, 0), nil
}

// checkName accepts 1 to 128 printable ASCII characters.
func checkName(name string) error {
	if len(name) > maxNameLen {
		return badSession("the session name has more than %d characters", maxNameLen)
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] > '~' {
			return badSession("the session name has a character that is not printable")
		}
	}
	return nil
}

// nameID returns the id of a named session, a hash that does not reveal the name.
func nameID(organisation, name string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + name))
	return hex.EncodeToString(sum[:sessionIDLen])
}

// cohort maps a session id to [0,1).
func cohort(id string) float64 {
	sum := sha256.Sum256([]byte(id))
	return float64(binary.BigEndian.Uint64(sum[:8])>>(64-cohortBits)) / (1 << cohortBits)
}
