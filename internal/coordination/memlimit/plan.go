package memlimit

import "time"

// Shares of the memory of a VM, in percent. The rest is for the runtime, the configuration, the
// garbage that is not collected yet and the buffers of the kernel.
const (
	nodeCallersPercent = 26
	nodeLocalPercent   = 8
	nodeAdminPercent   = 3
	nodeMeshPercent    = 12
	controlAPIPercent  = 15
	controlMeshPercent = 40
	// softLimitPercent is the part of the VM's memory at which the runtime collects garbage
	// more often.
	softLimitPercent = 70
)

// Shares of the descriptors, in percent. The rest is for the connections that a process dials:
// to its upstream, to other nodes and to control, and for files.
const (
	nodeCallersDescriptors = 50
	nodeLocalDescriptors   = 10
	nodeAdminDescriptors   = 5
	nodeMeshDescriptors    = 15
	controlAPIDescriptors  = 10
	controlMeshDescriptors = 60

	maxCallerConnections = 20000
	maxLocalConnections  = 4096
	maxAdminConnections  = 64
	maxAPIConnections    = 512
	maxMeshSessions      = 16384
)

const (
	// reserveShare is the part of a total that only small holders may use, as a divisor.
	reserveShare = 8
	// smallBytes holds a connection with an ordinary request: a head of 1 KB with 25 fields
	// and a body of 4 KB hold 60 KB.
	smallBytes = 96 << 10
	// stallAfter is longer than the pauses of a caller that sends slowly: a progress of
	// progressBytes in this time is 4 Kbit/s.
	stallAfter = 2 * time.Second
	// meshMinVictimBytes keeps idle sessions of other nodes open.
	meshMinVictimBytes = 256 << 10
)

// NodePlan divides the memory and the descriptors of a node among its listeners.
type NodePlan struct {
	Callers, Local, Admin, Mesh Limits
}

// PlanNode returns the limits of a node on a VM with so many bytes of memory. Three quarters of the
// callers' memory beyond the reserve are for one address, since many callers may share it.
func PlanNode(memoryBytes int64, descriptors int) NodePlan {
	plan := NodePlan{
		Callers: clientLimits(percentOf(memoryBytes, nodeCallersPercent), percent(descriptors, nodeCallersDescriptors, maxCallerConnections)),
		Local:   clientLimits(percentOf(memoryBytes, nodeLocalPercent), percent(descriptors, nodeLocalDescriptors, maxLocalConnections)),
		Admin:   clientLimits(percentOf(memoryBytes, nodeAdminPercent), percent(descriptors, nodeAdminDescriptors, maxAdminConnections)),
		Mesh:    meshLimits(percentOf(memoryBytes, nodeMeshPercent), percent(descriptors, nodeMeshDescriptors, maxMeshSessions)),
	}
	plan.Callers.Address = (plan.Callers.Total - plan.Callers.Reserve) * 3 / 4
	return plan
}

// ControlPlan divides the memory and the descriptors of a control member among its listeners.
type ControlPlan struct {
	API, Mesh Limits
}

// PlanControl returns the limits of a control member on a VM with so many bytes of memory.
func PlanControl(memoryBytes int64, descriptors int) ControlPlan {
	return ControlPlan{
		API:  clientLimits(percentOf(memoryBytes, controlAPIPercent), percent(descriptors, controlAPIDescriptors, maxAPIConnections)),
		Mesh: meshLimits(percentOf(memoryBytes, controlMeshPercent), percent(descriptors, controlMeshDescriptors, maxMeshSessions)),
	}
}

// SoftLimit returns the soft memory limit of the runtime on a VM with so many bytes of memory.
func SoftLimit(memoryBytes int64) int64 { return percentOf(memoryBytes, softLimitPercent) }

func clientLimits(total int64, connections int) Limits {
	return Limits{Total: total, Reserve: total / reserveShare, Small: smallBytes, Connections: connections, StallAfter: stallAfter, MinVictim: 1}
}

func meshLimits(total int64, sessions int) Limits {
	limits := clientLimits(total, sessions)
	limits.MinVictim = meshMinVictimBytes
	return limits
}

func percentOf(n, share int64) int64 { return n / 100 * share }

func percent(n, share, maximum int) int { return max(1, min(n*share/100, maximum)) }
