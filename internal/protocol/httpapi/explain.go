package httpapi

// ExplainRequest is the body of POST /v1/explain at a node's admin address. It describes a
// request of a caller, which is not sent.
type ExplainRequest struct {
	Host string `json:"host"`
	// Path is the target of the request, with its query.
	Path string `json:"path"`
	// Method is GET by default.
	Method string `json:"method,omitempty"`
	// Organisation names the organisation of the caller, or Key is the caller's key. At most
	// one of them is set.
	Organisation string `json:"organisation,omitempty"`
	Key          string `json:"key,omitempty"`
	// Zone is the availability zone of entry; that of the node by default.
	Zone string `json:"zone,omitempty"`
}

// Explanation is the response to ExplainRequest: what the node would do with the request now.
// It has no key.
type Explanation struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// AddressedBy is route, path or host; empty when the request names no service.
	AddressedBy string `json:"addressed_by,omitempty"`
	Route       string `json:"route,omitempty"`
	// Split holds the weights of the services of the route.
	Split        map[string]int `json:"split,omitempty"`
	Service      string         `json:"service,omitempty"`
	Organisation string         `json:"organisation,omitempty"`
	// Quota is what is left of the organisation's quota; nil while no quota applies.
	Quota      *ExplainedQuota      `json:"quota,omitempty"`
	Priority   int                  `json:"priority"`
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
	// Chosen is the ID of the instance with the lowest score of all that have offered to take
	// the request. A request asks only some of them.
	Chosen  string            `json:"chosen,omitempty"`
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
}

// ExplainedQuota is the state of an organisation's quota at the node.
type ExplainedQuota struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             float64 `json:"burst"`
	// Share is the share of the organisation's requests that the node admits now: 1 while
	// the quota is not used up.
	Share float64 `json:"share"`
	// GrantAgeMs is the age of what the node knows from control, -1 before the first grant.
	GrantAgeMs int64 `json:"grant_age_ms"`
	// Detached is set when this is too old and the node admits its own share.
	Detached bool `json:"detached"`
}

// ExplainedRefusal is the response that the request would get from the node.
type ExplainedRefusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason,omitempty"`
	Error  string `json:"error"`
	// RetryAfterSeconds is a typical value: requests get a random one. 0 means none.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// ExplainedCandidate is an instance of the service. Ages are in milliseconds.
type ExplainedCandidate struct {
	Instance  string `json:"instance"`
	Zone      string `json:"zone"`
	ZoneState string `json:"zone_state,omitempty"`
	// State is warm, cold or closed as the registry, or a recent response, says.
	State string `json:"state"`
	// Ejected is set while this node does not choose the instance for its failures.
	Ejected bool `json:"ejected"`
	// OwnInFlight is the number of this node's requests at the instance.
	OwnInFlight int `json:"own_in_flight"`
	// Answered is set when the node beside the instance has answered just now. The fields
	// below are from its answer, or else from the last response, which is ReportAgeMs old.
	Answered bool `json:"answered"`
	Open     bool `json:"open"`
	Cold     bool `json:"cold"`
	Running  int  `json:"running"`
	Queued   int  `json:"queued"`
	Limit    int  `json:"limit"`
	// ReportAgeMs is -1 when nothing is known.
	ReportAgeMs int64   `json:"report_age_ms"`
	Slowdown    float64 `json:"slowdown,omitempty"`
	WaitMs      float64 `json:"wait_ms"`
	// ScoreMs is the expected time until the response, with the penalties of the choice.
	ScoreMs float64 `json:"score_ms,omitempty"`
}
