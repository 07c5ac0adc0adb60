package wire

const (
	// batchFrames and batchBytes bound what one write packs.
	batchFrames = 256
	batchBytes  = 256 << 10
)

// Batch adds the frames that wait already to a first one, so that one write
// carries them all.
func Batch[F any](first F, waiting <-chan F, bytes func(F) int) []F {
	frames := []F{first}
	size := bytes(first)
	for len(frames) < batchFrames && size < batchBytes {
		select {
		case f := <-waiting:
			frames = append(frames, f)
			size += bytes(f)
		default:
			return frames
		}
	}
	return frames
}
