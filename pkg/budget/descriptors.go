package budget

import "syscall"

const (
	// reservedFiles is for what does not grow with the load: listeners, the store,
	// the other nodes, standard streams.
	reservedFiles = 64
	// Shares of the other descriptors. A request at work needs a connection to its
	// caller and one to an upstream, so callers may have no more than upstreams.
	callerShare       = 0.44
	idleUpstreamShare = 0.05
	directoryShare    = 0.04
	operatorShare     = 0.01
	// defaultFiles is the assumed limit where none is known.
	defaultFiles = 1024
)

// Descriptors divides the file descriptors of a process.
type Descriptors struct {
	// Callers is the number of connections of callers; as many are left for the
	// upstreams of their requests.
	Callers int
	// IdleUpstreams is the number of idle connections to upstreams.
	IdleUpstreams int
	// Directory is the number of connections for directory lookups, Operators that
	// for readiness and for metrics.
	Directory, Operators int
}

// DivideFiles divides the descriptors that a process may open. A limit of zero is
// unknown; that of the process holds in any case.
func DivideFiles(limit int) Descriptors {
	if own := processFiles(); limit <= 0 || own < limit {
		limit = own
	}
	free := float64(max(limit-reservedFiles, reservedFiles))
	return Descriptors{
		Callers: int(callerShare * free), IdleUpstreams: max(int(idleUpstreamShare*free), 1),
		Directory: max(int(directoryShare*free), 1), Operators: max(int(operatorShare*free), 1),
	}
}

// processFiles returns the limit of the process.
func processFiles() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return defaultFiles
	}
	return int(min(limit.Cur, 1<<30))
}
