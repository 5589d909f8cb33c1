package settings

import "fmt"

const (
	// DefaultNodeMemoryMB is the memory in MiB of the smallest VM of a node
	// (docs/requirements.md, 0.5).
	DefaultNodeMemoryMB = 184
	// DefaultControlMemoryMB is the memory in MiB of the smallest VM of a control member.
	DefaultControlMemoryMB = 280

	// minMemoryMB holds the process itself and one request of each kind.
	minMemoryMB = 96
	// minDescriptors holds the listeners, the connections to control and upstreams and some
	// clients.
	minDescriptors = 64
)

// checkResources checks the memory in MiB and the number of descriptors; 0 descriptors select the
// limit of the process.
func checkResources(memoryMB, descriptors int) *Error {
	if memoryMB < minMemoryMB {
		return &Error{Field: "memory_limit_mb", Problem: fmt.Sprintf("must be at least %d", minMemoryMB)}
	}
	if descriptors != 0 && descriptors < minDescriptors {
		return &Error{Field: "max_descriptors", Problem: fmt.Sprintf("must be at least %d", minDescriptors)}
	}
	return nil
}
