// Package liveheap measures memory for the benchmarks that docs/CAPACITY.md
// rests on.
package liveheap

import "runtime"

// Bytes is the heap that is reachable now, after a collection.
func Bytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Of is the heap that build's value holds, in bytes.
func Of(build func() any) float64 {
	before := Bytes()
	value := build()
	held := Bytes() - before
	runtime.KeepAlive(value)
	return held
}
