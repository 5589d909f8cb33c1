package settings

import "syscall"

const (
	// unknownDescriptors is used when the limit of the process can't be read.
	unknownDescriptors = 1024
	// maxUsedDescriptors bounds the use of a limit that is practically none.
	maxUsedDescriptors = 1 << 16
)

// Descriptors returns the number of descriptors that the process may open: the setting, or the
// limit of the process if the setting is 0 or higher.
func Descriptors(setting int) int {
	limit := syscall.Rlimit{}
	descriptors := unknownDescriptors
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, maxUsedDescriptors)) //nolint:gosec // bounded
	}
	if setting > 0 {
		descriptors = min(descriptors, setting)
	}
	return descriptors
}
