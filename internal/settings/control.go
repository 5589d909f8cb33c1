package settings

import "fmt"

const (
	// defaultToleratedLosses gives a cluster of up to five voters.
	defaultToleratedLosses = 2
	maxToleratedLosses     = 4
	// Defaults of the limits of rollouts, from docs/requirements.md, section 1.1.
	defaultRolloutShare = 0.1
	defaultRolloutSlack = 50
	defaultRollbackMs   = 5000
)

// Control holds the settings of chicorylever-control.
type Control struct {
	// ID names the member in logs; its durable identity is stored in DataDir.
	ID string `json:"id"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// DataDir is the directory of the replicated log, the snapshots and the member's
	// identity.
	DataDir string `json:"data_dir"`
	// MeshListen is the address that accepts streams from nodes and other members.
	MeshListen string `json:"mesh_listen"`
	// MeshAddress is the address that nodes and members dial; default MeshListen.
	MeshAddress string `json:"mesh_address,omitempty"`
	// APIListen is the address that serves the operators' API and /metrics.
	APIListen string `json:"api_listen"`
	// Bootstrap lists the mesh addresses of the initial members, including this
	// one. It is read only when DataDir is empty; it is omitted for a member that
	// joins a running cluster.
	Bootstrap []string `json:"bootstrap,omitempty"`
	// BootstrapDocument is the path of the initial document, which only the first
	// leader of a new cluster reads.
	BootstrapDocument string `json:"bootstrap_document,omitempty"`
	// MemberPort replaces the ports in Bootstrap and Join when it is not 0.
	MemberPort int `json:"member_port,omitempty"`
	// Join lists the mesh addresses of members of the running cluster that this member
	// joins.
	Join []string `json:"join,omitempty"`
	// ToleratedLosses is the number of members that may be lost at once while the cluster
	// keeps its quorum. The cluster keeps 2*ToleratedLosses+1 voters; further members stand
	// by to replace one that is lost. Default 2; a cluster of three members sets 1.
	ToleratedLosses int `json:"tolerated_losses,omitempty"`
	// TLSCert, TLSKey and TLSCA are paths of PEM files. When they are set, nodes and
	// members use mutual TLS; the certificate's common name or DNS name is ID and
	// its organizational unit is mesh.ControlUnit. Without them any process that
	// reaches the mesh port is trusted as a node and as a control member.
	TLSCert string `json:"tls_cert,omitempty"`
	TLSKey  string `json:"tls_key,omitempty"`
	TLSCA   string `json:"tls_ca,omitempty"`
	// APITLSCert and APITLSKey are paths of PEM files. When they are set, the operators'
	// API is served over TLS.
	APITLSCert string `json:"api_tls_cert,omitempty"`
	APITLSKey  string `json:"api_tls_key,omitempty"`
	// StopTimeoutMs is the timeout of a graceful stop in milliseconds; default 10000.
	StopTimeoutMs int `json:"stop_timeout_ms,omitempty"`
	// RolloutShare is the largest share of a service's requests that a bad target version
	// may get between the start of a rollout and its deadline; default 0.1. It applies to
	// rollouts that are started through this member.
	RolloutShare float64 `json:"rollout_share,omitempty"`
	// RolloutSlack is the number of requests that the target version may get in addition;
	// default 50.
	RolloutSlack int `json:"rollout_slack,omitempty"`
	// RollbackMs is the time in milliseconds after the 50th bad response of the target
	// version within which it must get no more requests; default 5000.
	RollbackMs int `json:"rollback_ms,omitempty"`
	// QuotaWindowS, QuotaOverage and QuotaSlack bound the requests of an organisation that
	// reach an upstream: in any window of QuotaWindowS seconds at most (rate x window + burst)
	// x (1 + QuotaOverage) + QuotaSlack. The defaults 5, 0.1 and 20 stand for values of 0.
	QuotaWindowS float64 `json:"quota_window_s,omitempty"`
	QuotaOverage float64 `json:"quota_overage,omitempty"`
	QuotaSlack   float64 `json:"quota_slack,omitempty"`
	// MemoryLimitMB is the memory of the VM in MiB; default 280. What the member holds for
	// clients is limited to parts of it.
	MemoryLimitMB int `json:"memory_limit_mb,omitempty"`
	// MaxDescriptors is the number of descriptors that the member may open; default is the
	// limit of the process. Connections of clients get parts of it.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `json:"log_level,omitempty"`
}

// LoadControl reads and validates the settings file of a control member.
func LoadControl(path string) (*Control, error) {
	s := &Control{}
	return s, load(path, s)
}

func (s *Control) setDefaults() {
	if s.MeshAddress == "" {
		s.MeshAddress = s.MeshListen
	}
	if s.ToleratedLosses == 0 {
		s.ToleratedLosses = defaultToleratedLosses
	}
	if s.StopTimeoutMs == 0 {
		s.StopTimeoutMs = 10000
	}
	s.setRolloutDefaults()
	if s.MemoryLimitMB == 0 {
		s.MemoryLimitMB = DefaultControlMemoryMB
	}
	s.Bootstrap = withPorts(s.Bootstrap, s.MemberPort)
	s.Join = withPorts(s.Join, s.MemberPort)
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

func (s *Control) setRolloutDefaults() {
	if s.RolloutShare == 0 {
		s.RolloutShare = defaultRolloutShare
	}
	if s.RolloutSlack == 0 {
		s.RolloutSlack = defaultRolloutSlack
	}
	if s.RollbackMs == 0 {
		s.RollbackMs = defaultRollbackMs
	}
}

func (s *Control) check() *Error {
	return firstProblem(
		checkNotEmpty("id", s.ID),
		checkNotEmpty("zone", s.Zone),
		checkNotEmpty("data_dir", s.DataDir),
		checkAddress("mesh_listen", s.MeshListen),
		checkAddress("mesh_address", s.MeshAddress),
		checkAddress("api_listen", s.APIListen),
		checkNotNegative("member_port", s.MemberPort),
		checkToleratedLosses(s.ToleratedLosses),
		checkQuotaBound(s.QuotaWindowS, s.QuotaOverage, s.QuotaSlack),
		checkPositive("stop_timeout_ms", s.StopTimeoutMs),
		checkRolloutShare(s.RolloutShare),
		checkPositive("rollout_slack", s.RolloutSlack),
		checkPositive("rollback_ms", s.RollbackMs),
		checkResources(s.MemoryLimitMB, s.MaxDescriptors),
		s.checkMemberAddresses(),
		checkTLS(s.TLSCert, s.TLSKey, s.TLSCA),
		s.checkAPITLS(),
		checkLogLevel(s.LogLevel),
	)
}

// checkToleratedLosses bounds the number of voters: each further one makes every commit
// wait for more disks.
func checkToleratedLosses(losses int) *Error {
	if losses < 0 || losses > maxToleratedLosses {
		return &Error{Field: "tolerated_losses", Problem: fmt.Sprintf("must be between 0 and %d", maxToleratedLosses)}
	}
	return nil
}

func checkRolloutShare(share float64) *Error {
	if share <= 0 || share > 1 {
		return &Error{Field: "rollout_share", Problem: "must be above 0 and at most 1"}
	}
	return nil
}

func (s *Control) checkAPITLS() *Error {
	if (s.APITLSCert == "") != (s.APITLSKey == "") {
		return &Error{Field: "api_tls_cert", Problem: "api_tls_cert and api_tls_key must be set together"}
	}
	return nil
}

func (s *Control) checkMemberAddresses() *Error {
	if len(s.Bootstrap) == 0 && len(s.Join) == 0 {
		return &Error{Field: "bootstrap", Problem: "either bootstrap or join must name members"}
	}
	if len(s.Bootstrap) > 0 {
		return checkAddresses("bootstrap", s.Bootstrap)
	}
	return checkAddresses("join", s.Join)
}

// ChangesNeedingRestart returns the JSON names of the settings that differ from next and
// take effect only after a restart.
func (s *Control) ChangesNeedingRestart(next *Control) []string {
	withoutReloadable := func(c *Control) Control {
		copied := *c
		copied.Bootstrap, copied.Join, copied.BootstrapDocument, copied.MemberPort = nil, nil, "", 0
		copied.StopTimeoutMs, copied.MemoryLimitMB, copied.MaxDescriptors = 0, 0, 0
		return copied
	}
	return differingFields(withoutReloadable(s), withoutReloadable(next))
}
