package streamversion

// Question is what a process knows of a stream that is to go on.
type Question struct {
	// Service is the service that is to go on with the stream.
	Service string
	// Found is set where a record of the stream is known.
	Found  bool
	Record Record
	// Versions are the versions of the service that were heard of, and Complete is set where no
	// other can have served within Retention.
	Versions []string
	Complete bool
	// Only is the version that was the only one until another one was heard of, where streams that began since
	// then have records; empty if there is none.
	Only string
	// Unreached is set where a process that may hold the record could not be asked.
	Unreached bool
}

// Verdict says where a stream may go on.
type Verdict uint8

const (
	// Refuse means nowhere.
	Refuse Verdict = iota
	// AnyServer means at every server of the service: it has had one version, or its servers tell
	// none.
	AnyServer
	// OneVersion means at the servers of one version.
	OneVersion
)

// Decision is where a stream may go on.
type Decision struct {
	Verdict Verdict
	// Version is the version for OneVersion.
	Version string
	// Reason says why a stream may not go on.
	Reason string
}

// Reasons for which a stream may not go on.
const (
	ReasonOtherService = "the stream began at another service"
	ReasonUncertain    = "servers of several versions may have sent the stream's events"
	ReasonUnknown      = "nobody knows at which version the stream began, and several serve"
	ReasonIncomplete   = "nobody knows at which version the stream began, and not all versions that served are known here"
	ReasonUnreached    = "those that may know at which version the stream began cannot be asked"
)

// MayChange reports whether the same question may soon be decided otherwise: processes that are starting
// will answer, or will have been told what they do not know.
func (d Decision) MayChange() bool {
	return d.Reason == ReasonIncomplete || d.Reason == ReasonUnreached
}

// Decide decides where a stream may go on.
func Decide(q Question) Decision {
	switch {
	case q.Found && q.Record.Service != q.Service:
		return Decision{Reason: ReasonOtherService}
	case q.Found && q.Record.Version != "":
		return Decision{Verdict: OneVersion, Version: q.Record.Version}
	case len(q.Versions) == 1 && q.Versions[0] == "", q.Complete && len(q.Versions) <= 1:
		return Decision{Verdict: AnyServer}
	case q.Found:
		return Decision{Reason: ReasonUncertain}
	case q.Unreached:
		return Decision{Reason: ReasonUnreached}
	case q.Only != "":
		return Decision{Verdict: OneVersion, Version: q.Only}
	case len(q.Versions) > 1:
		return Decision{Reason: ReasonUnknown}
	default:
		return Decision{Reason: ReasonIncomplete}
	}
}
