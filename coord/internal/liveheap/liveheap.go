// Package liveheap measures heap memory for the benchmarks on which
// docs/CAPACITY.md is based.
package liveheap

import "runtime"

// Bytes runs a garbage collection and returns the size of the live heap in bytes.
func Bytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Of returns the heap memory retained by the value that build returns, in bytes.
func Of(build func() any) float64 {
	before := Bytes()
	value := build()
	held := Bytes() - before
	runtime.KeepAlive(value)
	return held
}
