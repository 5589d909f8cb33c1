package settings

// Node holds the settings of chicorylever-node.
type Node struct {
	// ID names the node and stays the same across restarts.
	ID string `json:"id"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// EntryListen is the address that accepts callers' HTTP requests.
	EntryListen string `json:"entry_listen"`
	// LocalListen is the address that accepts the upstream's announcements and its
	// requests to other services. It must be a loopback address unless LocalOpen is set.
	LocalListen string `json:"local_listen"`
	// LocalOpen allows LocalListen to be a non-loopback address; only processes of the
	// VM may be able to reach it.
	LocalOpen bool `json:"local_open,omitempty"`
	// Service is the service of the upstream on this VM. Requests that originate on this
	// VM carry it in a header if the dialect has one (httpapi.Dialect.CallerService).
	Service string `json:"service,omitempty"`
	// MeshListen is the address that accepts streams from other nodes.
	MeshListen string `json:"mesh_listen"`
	// MeshAddress is the address that other nodes dial; default MeshListen.
	MeshAddress string `json:"mesh_address,omitempty"`
	// AdminListen is the address that serves /metrics and /v1/status.
	AdminListen string `json:"admin_listen"`
	// Control lists the mesh addresses of some control members, from which the node
	// learns the addresses of the others.
	Control []string `json:"control"`
	// ControlPort replaces the ports in Control when it is not 0.
	ControlPort int `json:"control_port,omitempty"`
	// TLSCert, TLSKey and TLSCA are paths of PEM files. When they are set, nodes and
	// control members use mutual TLS; the certificate's common name or DNS name is ID.
	// Without them any process that reaches the mesh port is trusted.
	TLSCert string `json:"tls_cert,omitempty"`
	TLSKey  string `json:"tls_key,omitempty"`
	TLSCA   string `json:"tls_ca,omitempty"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `json:"log_level,omitempty"`
	// RetryRatio, RetrySlack and RetryWindowS limit the retries and hedges of a service
	// over all nodes: in any window of RetryWindowS seconds at most RetryRatio times the
	// number of its requests plus RetrySlack. Each node enforces its part of the limit. If
	// RetryWindowS is 0, each node applies the retry share of the document instead. The
	// hedge share of the document applies in both cases.
	RetryRatio   float64 `json:"retry_ratio,omitempty"`
	RetrySlack   float64 `json:"retry_slack,omitempty"`
	RetryWindowS float64 `json:"retry_window_s,omitempty"`
	// ColdFactor and ColdSlack are the load that a cold upstream tolerates beyond the
	// warmup rate of its service: in any second at most ColdFactor times that rate plus
	// ColdSlack requests. If both are 0, the defaults 1.5 and 5 apply.
	ColdFactor float64 `json:"cold_factor,omitempty"`
	ColdSlack  float64 `json:"cold_slack,omitempty"`
	// QuotaWindowS, QuotaOverage and QuotaSlack bound the requests of an organisation that
	// reach an upstream: in any window of QuotaWindowS seconds at most (rate x window + burst)
	// x (1 + QuotaOverage) + QuotaSlack. The defaults 5, 0.1 and 20 stand for values of 0.
	QuotaWindowS float64 `json:"quota_window_s,omitempty"`
	QuotaOverage float64 `json:"quota_overage,omitempty"`
	QuotaSlack   float64 `json:"quota_slack,omitempty"`
	// StopDelayMs is the time in milliseconds for which a stopping node still accepts
	// callers' requests while it reports that it is not ready, so that callers switch to
	// other nodes before it closes its listener; default 0.
	StopDelayMs int `json:"stop_delay_ms,omitempty"`
	// UpstreamAddress is the address of the upstream beside the node. With it a node that
	// starts asks the health path of the upstream, and need not wait for its announcement.
	UpstreamAddress string `json:"upstream_address,omitempty"`
	// StopTimeoutMs is the timeout of a graceful stop in milliseconds; default 30000.
	StopTimeoutMs int `json:"stop_timeout_ms,omitempty"`
	// MemoryLimitMB is the memory of the VM in MiB; default 184. What the node holds for
	// clients is limited to parts of it.
	MemoryLimitMB int `json:"memory_limit_mb,omitempty"`
	// MaxDescriptors is the number of descriptors that the node may open; default is the
	// limit of the process. Connections of clients get parts of it.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
}

// LoadNode reads and validates the settings file of a node.
func LoadNode(path string) (*Node, error) {
	s := &Node{}
	return s, load(path, s)
}

func (s *Node) setDefaults() {
	if s.MeshAddress == "" {
		s.MeshAddress = s.MeshListen
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	s.Control = withPorts(s.Control, s.ControlPort)
	if s.StopTimeoutMs == 0 {
		s.StopTimeoutMs = 30000
	}
	if s.MemoryLimitMB == 0 {
		s.MemoryLimitMB = DefaultNodeMemoryMB
	}
}

func (s *Node) check() *Error {
	return firstProblem(
		checkNotEmpty("id", s.ID),
		checkNotEmpty("zone", s.Zone),
		checkAddress("entry_listen", s.EntryListen),
		checkAddress("local_listen", s.LocalListen),
		s.checkUpstreamAddress(),
		s.checkLocalListen(),
		checkNotNegative("control_port", s.ControlPort),
		checkNotNegative("stop_delay_ms", s.StopDelayMs),
		s.checkRetryLimit(),
		s.checkColdLimit(),
		checkQuotaBound(s.QuotaWindowS, s.QuotaOverage, s.QuotaSlack),
		checkAddress("mesh_listen", s.MeshListen),
		checkAddress("mesh_address", s.MeshAddress),
		checkAddress("admin_listen", s.AdminListen),
		checkAddresses("control", s.Control),
		checkTLS(s.TLSCert, s.TLSKey, s.TLSCA),
		checkLogLevel(s.LogLevel),
		checkPositive("stop_timeout_ms", s.StopTimeoutMs),
		checkResources(s.MemoryLimitMB, s.MaxDescriptors),
	)
}

func (s *Node) checkUpstreamAddress() *Error {
	if s.UpstreamAddress == "" {
		return nil
	}
	return checkAddress("upstream_address", s.UpstreamAddress)
}

func (s *Node) checkRetryLimit() *Error {
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindowS < 0 {
		return &Error{Field: "retry_ratio", Problem: "retry_ratio, retry_slack and retry_window_s must not be negative"}
	}
	return nil
}

func (s *Node) checkColdLimit() *Error {
	if s.ColdFactor == 0 && s.ColdSlack == 0 {
		return nil
	}
	if s.ColdFactor < 1 || s.ColdSlack < 0 {
		return &Error{Field: "cold_factor", Problem: "cold_factor must be at least 1 and cold_slack must not be negative"}
	}
	return nil
}

func (s *Node) checkLocalListen() *Error {
	if s.LocalOpen {
		return nil
	}
	return checkLoopback("local_listen", s.LocalListen)
}

// ChangesNeedingRestart returns the JSON names of the settings that differ from next and
// take effect only after a restart.
func (s *Node) ChangesNeedingRestart(next *Node) []string {
	withoutReloadable := func(n *Node) Node {
		copied := *n
		copied.Control, copied.ControlPort = nil, 0
		copied.Service, copied.StopDelayMs, copied.StopTimeoutMs = "", 0, 0
		copied.MemoryLimitMB, copied.MaxDescriptors = 0, 0
		return copied
	}
	return differingFields(withoutReloadable(s), withoutReloadable(next))
}
