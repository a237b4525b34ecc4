package socket

import (
	"math"
	"syscall"
)

// DescriptorLimit returns how many descriptors the system lets this process open; a very large number where that is not
// known.
func DescriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
