package bodybudget

// memoryFraction is the fraction of the process's memory that request bodies may take. The
// rest is for responses, for what the garbage collector has not freed yet, and for
// everything else.
const memoryFraction = 0.25

const bytesPerMB = 1 << 20

// Capacity returns the budget of a process with a memory limit in MB, 0 if it has none.
func Capacity(memoryMB float64) int64 { return int64(memoryFraction * memoryMB * bytesPerMB) }
