package settings

// Control holds the settings of chicorylever-control.
type Control struct {
	// ID names the member in logs; its durable identity lives in the data folder.
	ID string `json:"id"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// DataDir holds the log, snapshots and the member's identity.
	DataDir string `json:"data_dir"`
	// MeshListen takes streams from nodes and other members.
	MeshListen string `json:"mesh_listen"`
	// MeshAddress is what nodes and members dial; default is MeshListen.
	MeshAddress string `json:"mesh_address,omitempty"`
	// APIListen serves the operators' API and /metrics.
	APIListen string `json:"api_listen"`
	// Bootstrap names the mesh addresses of the first members, this one
	// included. It is read only when the data folder is empty; a member that
	// joins a running cluster leaves it out.
	Bootstrap []string `json:"bootstrap,omitempty"`
	// BootstrapDocument is the file with the first document, read only by the
	// first leader of a new cluster.
	BootstrapDocument string `json:"bootstrap_document,omitempty"`
	// MemberPort replaces the ports in Bootstrap and Join when it is not 0.
	MemberPort int `json:"member_port,omitempty"`
	// Join lists mesh addresses of running members for a member that joins.
	Join []string `json:"join,omitempty"`
	// TLSCert, TLSKey and TLSCA name PEM files. When they are set, the processes of
	// the system speak mutual TLS; the certificate's common name or DNS name is ID and
	// its organizational unit is mesh.ControlUnit. Without them any process that
	// reaches the mesh port is trusted as a node and as a control member.
	TLSCert string `json:"tls_cert,omitempty"`
	TLSKey  string `json:"tls_key,omitempty"`
	TLSCA   string `json:"tls_ca,omitempty"`
	// APITLSCert and APITLSKey name PEM files. When they are set, the operators'
	// API is served over TLS.
	APITLSCert string `json:"api_tls_cert,omitempty"`
	APITLSKey  string `json:"api_tls_key,omitempty"`
	// StopTimeoutMs bounds a graceful stop; default 10000.
	StopTimeoutMs int `json:"stop_timeout_ms,omitempty"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `json:"log_level,omitempty"`
}

// LoadControl reads and checks the settings of a control member.
func LoadControl(path string) (*Control, error) {
	s := &Control{}
	return s, load(path, s)
}

func (s *Control) setDefaults() {
	if s.MeshAddress == "" {
		s.MeshAddress = s.MeshListen
	}
	if s.StopTimeoutMs == 0 {
		s.StopTimeoutMs = 10000
	}
	s.Bootstrap = withPort(s.Bootstrap, s.MemberPort)
	s.Join = withPort(s.Join, s.MemberPort)
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

func (s *Control) check() *Error {
	return firstProblem(
		checkName("id", s.ID),
		checkName("zone", s.Zone),
		checkName("data_dir", s.DataDir),
		checkAddress("mesh_listen", s.MeshListen),
		checkAddress("mesh_address", s.MeshAddress),
		checkAddress("api_listen", s.APIListen),
		checkNotNegative("member_port", s.MemberPort),
		checkPositive("stop_timeout_ms", s.StopTimeoutMs),
		s.checkMembers(),
		checkTLS(s.TLSCert, s.TLSKey, s.TLSCA),
		s.checkAPITLS(),
		checkLogLevel(s.LogLevel),
	)
}

func (s *Control) checkAPITLS() *Error {
	if (s.APITLSCert == "") != (s.APITLSKey == "") {
		return &Error{Field: "api_tls_cert", Problem: "api_tls_cert and api_tls_key must be set together"}
	}
	return nil
}

func (s *Control) checkMembers() *Error {
	if len(s.Bootstrap) == 0 && len(s.Join) == 0 {
		return &Error{Field: "bootstrap", Problem: "either bootstrap or join must name members"}
	}
	if len(s.Bootstrap) > 0 {
		return checkAddresses("bootstrap", s.Bootstrap)
	}
	return checkAddresses("join", s.Join)
}

// FixedDifferences names the settings that differ from next and need a restart.
func (s *Control) FixedDifferences(next *Control) []string {
	fixed := func(c *Control) Control {
		copied := *c
		copied.Bootstrap, copied.Join, copied.BootstrapDocument, copied.MemberPort = nil, nil, "", 0
		copied.StopTimeoutMs = 0
		return copied
	}
	return differences(fixed(s), fixed(next))
}
