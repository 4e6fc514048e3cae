package daemon

import "runtime/metrics"

// Names of the runtime's metrics, in bytes.
const (
	metricMemoryMapped   = "/memory/classes/total:bytes"
	metricMemoryReleased = "/memory/classes/heap/released:bytes"
)

// memoryInUse returns the bytes that the Go runtime has mapped and not returned to the system. The process's resident
// memory is at most this and the memory of the program and the C library.
func memoryInUse() uint64 {
	samples := []metrics.Sample{{Name: metricMemoryMapped}, {Name: metricMemoryReleased}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
