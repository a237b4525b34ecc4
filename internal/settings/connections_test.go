package settings

import "testing"

// Guards against limits that leave no descriptors for files and connections to others, or that exceed the memory.
func TestConnectionLimitsFitDescriptorsAndMemory(t *testing.T) {
	for _, descriptors := range []int{256, 512, 4100} {
		for _, memory := range []int64{96e6, 216e6, 284e6, 8e9} {
			limits := connectionLimits(descriptors, memory, 0)
			if limits.Callers <= 0 || limits.Operators <= 0 || limits.Peers <= 0 || limits.Status <= 0 {
				t.Errorf("%d descriptors, %d bytes: a listener has no limit: %+v", descriptors, memory, limits)
			}
			// An entry has two listeners for status.
			if sum := limits.Callers + limits.Operators + limits.Peers + 2*limits.Status; sum > descriptors*99/100 {
				t.Errorf("%d descriptors: listeners may take %d", descriptors, sum)
			}
			if bytes := int64(limits.Callers+limits.Operators) * connectionBytes; bytes > memory/3 {
				t.Errorf("%d bytes: connections may take %d", memory, bytes)
			}
		}
	}
	if limits := connectionLimits(4100, 284e6, 100); limits.Callers != 100 {
		t.Errorf("the settings allow 100 connections, the limit is %d", limits.Callers)
	}
}
