package settings

import (
	"math"
	"runtime/debug"

	"github.com/rosemarypass/rosemarypass/coord/intake"
)

const (
	// defaultServeMemoryMB is the memory limit of a process whose settings and environment name none.
	defaultServeMemoryMB = 1024
	// requestMemoryPart is the part of the memory limit that requests may hold.
	requestMemoryPart = 5
	// maxRequestMemoryRatio is the largest fraction of the memory limit that requests may hold.
	maxRequestMemoryRatio = 0.5
	bytesPerMB            = 1e6
)

// checkRequestMemory checks the bound of what requests hold against the memory limit, both in megabytes.
func checkRequestMemory(p *problems, requestMB, memoryMB float64) {
	if requestMB < 0 || requestMB > memoryMB*maxRequestMemoryRatio {
		p.add("requestMemoryMB", "must be between 0 and half of memoryMB: answers and connections need the rest")
	}
}

// requestMemory returns the bound of what requests hold, in bytes: the one that is named, or a part of the memory limit.
func requestMemory(requestMB, memoryMB float64) int64 {
	if requestMB > 0 {
		return int64(requestMB * bytesPerMB)
	}
	return int64(memoryMB*bytesPerMB) / requestMemoryPart
}

// checkMemory checks that the largest body fits into what requests may hold.
func (s *Settings) checkMemory(p *problems) {
	if s.MemoryMB < 0 {
		p.add("memoryMB", "must not be below 0")
		return
	}
	checkRequestMemory(p, s.RequestMemoryMB, s.memoryMB())
	named := s.MemoryMB > 0 || s.RequestMemoryMB > 0
	if named && s.Entry != nil && s.Entry.MaxBodyBytes > intake.DefaultLimits(s.RequestMemory()).LargestBody() {
		p.add("entry.maxBodyBytes", "does not fit: it must be at most half of requestMemoryMB, or a tenth of memoryMB")
	}
}

// memoryMB returns the memory limit, in megabytes.
func (s *Settings) memoryMB() float64 {
	if s.MemoryMB > 0 {
		return s.MemoryMB
	}
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return float64(limit) / bytesPerMB
	}
	return defaultServeMemoryMB
}

// ConnectionLimits returns the limits of the process's listeners.
func (s *Settings) ConnectionLimits() ConnectionLimits {
	return connectionLimits(s.MaxDescriptors, int64(s.memoryMB()*bytesPerMB), s.CallerConnections)
}

// RequestMemory returns the bound of what the process holds of requests that it has not answered, in bytes. Where the
// settings name no memory, it leaves room for the largest body that an entry accepts.
func (s *Settings) RequestMemory() int64 {
	bound := requestMemory(s.RequestMemoryMB, s.memoryMB())
	if s.MemoryMB > 0 || s.RequestMemoryMB > 0 || s.Entry == nil {
		return bound
	}
	for intake.DefaultLimits(bound).LargestBody() < s.Entry.MaxBodyBytes {
		bound *= 2
	}
	return bound
}
