package wire

const (
	// maxBatchFrames and maxBatchBytes bound the number of frames and of bytes in one
	// write.
	maxBatchFrames = 256
	maxBatchBytes  = 256 << 10
)

// CollectBatch returns the first frame and those already queued, so that one write sends
// them all. It does not wait for more. The function size returns the encoded size
// of a frame in bytes; the last frame may exceed the limit.
func CollectBatch[F any](first F, queue <-chan F, size func(F) int) []F {
	frames := []F{first}
	total := size(first)
	for len(frames) < maxBatchFrames && total < maxBatchBytes {
		select {
		case f := <-queue:
			frames = append(frames, f)
			total += size(f)
		default:
			return frames
		}
	}
	return frames
}
