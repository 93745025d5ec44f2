// Package quarantine finds the parts of prompts that crash upstreams and keeps
// requests with such a part from being sent.
//
// Each node records, for its own sends, which parts a request shared with others
// and how the send ended. When an upstream crashes, all requests that it had not
// been answering for long are suspects, and so are their parts. A part is
// quarantined when it is the best explanation of several crashes and no request
// with it has been answered since the first of them. The nodes flood what they
// observe, so that all decide on the same table. It answers the load of a few
// requests that, resent by nodes and callers, end one upstream after the other.
package quarantine
