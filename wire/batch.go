package wire

const (
	// batchFrames and batchBytes bound the frames and their bytes in one write.
	batchFrames = 256
	batchBytes  = 256 << 10
)

// CollectBatch returns the first frame and those already queued, so that one write sends
// them all. It does not wait for more. The function size returns the encoded size
// of a frame in bytes; the last frame may exceed the limit.
func CollectBatch[F any](first F, queue <-chan F, size func(F) int) []F {
	frames := []F{first}
	total := size(first)
	for len(frames) < batchFrames && total < batchBytes {
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
