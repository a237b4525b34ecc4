package settings

import (
	"math"

	"github.com/rosemarypass/rosemarypass/internal/socket"
)

// ConnectionLimits are the largest numbers of connections that each listener of a process keeps open. What they leave of the
// descriptors is for files and for connections to others.
type ConnectionLimits struct {
	Callers int
	// Operators is for the listener of operators and backend servers, Peers for that of other processes of the system.
	Operators int
	Peers     int
	// Status is for each listener of health checks and counters.
	Status int
}

const (
	// Divisors of the limit of descriptors.
	callersPart   = 2
	peersPart     = 4
	operatorsPart = 8
	statusPart    = 64
	// minStatus leaves room for a few readers of counters beside the health checks.
	minStatus = 8
	// callersMemoryPart and operatorsMemoryPart are the parts of the memory that connections may take with their
	// buffers, connectionBytes is what one takes at most before its request is charged elsewhere, in bytes.
	callersMemoryPart   = 4
	operatorsMemoryPart = 16
	connectionBytes     = 32 << 10
	// minDescriptors is the smallest limit of descriptors that leaves each listener a few connections.
	minDescriptors = 256
	// maxNamedCallersRatio is the largest fraction of the descriptors that the settings may give to callers.
	maxNamedCallersRatio = 0.75
)

// connectionLimits returns the limits for a number of descriptors, which is bounded by what the system grants, and a memory
// limit in bytes. callers is the limit of callers that the settings name, 0 if they name none.
func connectionLimits(named int, memory int64, callers int) ConnectionLimits {
	descriptors := socket.DescriptorLimit()
	if named > 0 {
		descriptors = min(descriptors, named)
	}
	byMemory := func(part int64) int { return int(min(memory/part/connectionBytes, math.MaxInt32)) }
	limits := ConnectionLimits{
		Callers:   min(descriptors/callersPart, byMemory(callersMemoryPart)),
		Operators: min(descriptors/operatorsPart, byMemory(operatorsMemoryPart)),
		Peers:     descriptors / peersPart,
		Status:    max(descriptors/statusPart, minStatus),
	}
	if callers > 0 {
		limits.Callers = callers
	}
	return limits
}

// checkConnections checks the limits of descriptors and of callers' connections that settings name, 0 for none.
func checkConnections(p *problems, descriptors, callers int) {
	if descriptors != 0 && descriptors < minDescriptors {
		p.add("maxDescriptors", "must be at least 256: each listener needs a few connections")
	}
	if callers < 0 || descriptors > 0 && float64(callers) > maxNamedCallersRatio*float64(descriptors) {
		p.add("callerConnections", "must be between 0 and three quarters of maxDescriptors: files and other connections need the rest")
	}
}
