package settings

// Node holds the settings of chicorylever-node.
type Node struct {
	// ID names the node and stays the same across restarts.
	ID string `json:"id"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// EntryListen takes callers' requests over HTTP.
	EntryListen string `json:"entry_listen"`
	// LocalListen takes the upstream's calls to other services and its
	// announcements. It must be a loopback address unless LocalOpen is set.
	LocalListen string `json:"local_listen"`
	// LocalOpen allows LocalListen to be another address, which only processes of the
	// VM may reach.
	LocalOpen bool `json:"local_open,omitempty"`
	// Service is the service of the upstream on this VM. It is passed on with requests
	// that begin here, where the upstreams ask for it.
	Service string `json:"service,omitempty"`
	// MeshListen takes streams from other nodes.
	MeshListen string `json:"mesh_listen"`
	// MeshAddress is what other nodes dial; default is MeshListen.
	MeshAddress string `json:"mesh_address,omitempty"`
	// AdminListen serves /metrics and /v1/status.
	AdminListen string `json:"admin_listen"`
	// Control lists the mesh addresses of some control members. The node learns the
	// others from them.
	Control []string `json:"control"`
	// ControlPort replaces the ports in Control when it is not 0.
	ControlPort int `json:"control_port,omitempty"`
	// TLSCert, TLSKey and TLSCA name PEM files. When they are set, the processes of
	// the system speak mutual TLS; the certificate's common name or DNS name is ID.
	// Without them any process that reaches the mesh port is trusted.
	TLSCert string `json:"tls_cert,omitempty"`
	TLSKey  string `json:"tls_key,omitempty"`
	TLSCA   string `json:"tls_ca,omitempty"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `json:"log_level,omitempty"`
	// RetryRatio, RetrySlack and RetryWindowS bound the repeated requests of a service
	// over all nodes: in any window of RetryWindowS seconds at most RetryRatio times
	// its requests plus RetrySlack. Each node keeps its part. Without a window the
	// shares of the document hold at each node.
	RetryRatio   float64 `json:"retry_ratio,omitempty"`
	RetrySlack   float64 `json:"retry_slack,omitempty"`
	RetryWindowS float64 `json:"retry_window_s,omitempty"`
	// ColdFactor and ColdSlack are what a cold upstream bears beyond the rate that its
	// service states: in any second at most ColdFactor times the rate and ColdSlack more
	// requests; without both 1.5 and 5.
	ColdFactor float64 `json:"cold_factor,omitempty"`
	ColdSlack  float64 `json:"cold_slack,omitempty"`
	// StopDelayMs is the time in milliseconds for which a stopping node still takes
	// callers' requests while it reports that it is not ready, so that callers turn to
	// other nodes before it closes; default 0.
	StopDelayMs int `json:"stop_delay_ms,omitempty"`
	// StopTimeoutMs bounds a graceful stop; default 30000.
	StopTimeoutMs int `json:"stop_timeout_ms,omitempty"`
}

// LoadNode reads and checks the settings of a node.
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
	s.Control = withPort(s.Control, s.ControlPort)
	if s.StopTimeoutMs == 0 {
		s.StopTimeoutMs = 30000
	}
}

func (s *Node) check() *Error {
	return firstProblem(
		checkName("id", s.ID),
		checkName("zone", s.Zone),
		checkAddress("entry_listen", s.EntryListen),
		checkAddress("local_listen", s.LocalListen),
		s.checkLocal(),
		checkNotNegative("control_port", s.ControlPort),
		checkNotNegative("stop_delay_ms", s.StopDelayMs),
		s.checkRetries(),
		s.checkCold(),
		checkAddress("mesh_listen", s.MeshListen),
		checkAddress("mesh_address", s.MeshAddress),
		checkAddress("admin_listen", s.AdminListen),
		checkAddresses("control", s.Control),
		checkTLS(s.TLSCert, s.TLSKey, s.TLSCA),
		checkLogLevel(s.LogLevel),
		checkPositive("stop_timeout_ms", s.StopTimeoutMs),
	)
}

func (s *Node) checkRetries() *Error {
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindowS < 0 {
		return &Error{Field: "retry_ratio", Problem: "retry_ratio, retry_slack and retry_window_s must not be negative"}
	}
	return nil
}

func (s *Node) checkCold() *Error {
	if s.ColdFactor == 0 && s.ColdSlack == 0 {
		return nil
	}
	if s.ColdFactor < 1 || s.ColdSlack < 0 {
		return &Error{Field: "cold_factor", Problem: "cold_factor must be at least 1 and cold_slack not be negative"}
	}
	return nil
}

func (s *Node) checkLocal() *Error {
	if s.LocalOpen {
		return nil
	}
	return checkLoopback("local_listen", s.LocalListen)
}

// FixedDifferences names the settings that differ from next and need a restart.
func (s *Node) FixedDifferences(next *Node) []string {
	fixed := func(n *Node) Node {
		copied := *n
		copied.Control, copied.ControlPort = nil, 0
		copied.Service, copied.StopDelayMs, copied.StopTimeoutMs = "", 0, 0
		return copied
	}
	return differences(fixed(s), fixed(next))
}
