package standin

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"cassiapin/pkg/config"
)

// DefaultMeanQuality is the true mean of a version whose quality is not set.
const DefaultMeanQuality = 0.7

// DefaultSpread is the largest deviation of one answer from the mean.
const DefaultSpread = 0.2

// AnswerID identifies one answer and what produced it. The engine embeds it
// in the answer's text and the rating service reads it back.
type AnswerID struct {
	Ref   config.VersionRef
	Class string
	Hash  uint64
}

const answerMark = "[answer:"

// String returns the marker that is embedded in the text. It has no spaces.
func (a AnswerID) String() string {
	return fmt.Sprintf("%s%s:%s:%016x]", answerMark, a.Ref, a.Class, a.Hash)
}

// ParseAnswerID finds the marker in an answer's text.
func ParseAnswerID(text string) (AnswerID, bool) {
	i := strings.Index(text, answerMark)
	if i < 0 {
		return AnswerID{}, false
	}
	inner, _, ok := strings.Cut(text[i+len(answerMark):], "]")
	parts := strings.Split(inner, ":")
	if !ok || len(parts) != 3 {
		return AnswerID{}, false
	}
	ref, err := config.ParseVersionRef(parts[0])
	if err != nil {
		return AnswerID{}, false
	}
	hash, err := strconv.ParseUint(parts[2], 16, 64)
	return AnswerID{Ref: ref, Class: parts[1], Hash: hash}, err == nil
}

type qualityKey struct {
	class string
	ref   config.VersionRef
}

// QualityModel is the hidden true quality of answers in [0,1]. It is shared by
// engines and the rating service and is safe for concurrent use.
type QualityModel struct {
	mu     sync.RWMutex
	spread float64
	means  map[qualityKey]float64
}

// NewQualityModel returns a model with DefaultSpread and no set means.
func NewQualityModel() *QualityModel {
	return &QualityModel{spread: DefaultSpread, means: make(map[qualityKey]float64)}
}

// Set sets the true mean of a version for a class. An empty class sets the
// default for classes without their own mean.
func (q *QualityModel) Set(class string, ref config.VersionRef, mean float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.means[qualityKey{class, ref}] = min(max(mean, 0), 1)
}

// SetSpread sets the largest deviation of one answer from its mean.
func (q *QualityModel) SetSpread(spread float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.spread = max(spread, 0)
}

// Mean returns the true mean for a class and version.
func (q *QualityModel) Mean(class string, ref config.VersionRef) float64 {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.mean(class, ref)
}

func (q *QualityModel) mean(class string, ref config.VersionRef) float64 {
	if m, ok := q.means[qualityKey{class, ref}]; ok {
		return m
	}
	if m, ok := q.means[qualityKey{"", ref}]; ok {
		return m
	}
	return DefaultMeanQuality
}

// Quality returns the true quality of one answer. The deviation is symmetric
// and bounded by the distance of the mean to 0 and 1, so the mean over answers
// equals the configured mean.
func (q *QualityModel) Quality(id AnswerID) float64 {
	q.mu.RLock()
	defer q.mu.RUnlock()
	m := q.mean(id.Class, id.Ref)
	spread := min(q.spread, m, 1-m)
	return m + spread*(2*Unit(id.Hash)-1)
}
