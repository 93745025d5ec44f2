package eventlog

// The messages of structured log lines. docs/OPERATIONS.md explains each.
const (
	NodeStarted      = "node started"
	NodeLeaving      = "node leaving"
	NodeStopped      = "node stopped"
	MetricsNotServed = "metrics not served"
	SettingsTaken    = "settings taken"
	SettingsFailed   = "settings refused"

	ProcessPaused  = "process was paused"
	StoreLost      = "store lost"
	StoreRegained  = "store regained"
	HistoryLost    = "store history lost"
	NoticeFailed   = "notice not sent"
	ObjectRefused  = "object refused"
	ConfigTaken    = "configuration taken"
	UpstreamRead   = "upstream read"
	UpstreamGone   = "upstream gone"
	RolloutRead    = "rollout read"
	EvacuationRead = "evacuation read"

	RequestDone    = "request done"
	RequestRefused = "request refused"
	RequestFailed  = "request failed"
	CallerLeft     = "caller left"
	AttemptFailed  = "attempt failed"
	ModelEscalated = "model escalated"
	StreamResumed  = "stream resumed"
	RequestTimeout = "request did not arrive in time"
	RequestPanic   = "request ended with a panic"

	PartQuarantined = "prompt part quarantined"
	PartReleased    = "prompt part released"
	PartTried       = "prompt part tried"
	PartStateRead   = "prompt part state read"

	RolloutStarted = "rollout started"
	RolloutShare   = "rollout share"
	RolloutVerdict = "rollout verdict"
	RolloutWritten = "rollout state written"
	ReportRefused  = "rollout report refused"
	MembersChanged = "members changed"
	Registered     = "node registered"
	NotRegistered  = "node entry not written"
	PeerRefused    = "peer refused"
	LinesDropped   = "log lines dropped"
)
