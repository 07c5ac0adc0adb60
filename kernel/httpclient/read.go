package httpclient

import (
	"bytes"
	"encoding/json"
	"io"
)

const (
	// bufferByteCost is what a byte of a body costs until it is decoded, since the buffer doubles
	// as it grows, and textByteCost what it costs from then on, as a part of a text.
	bufferByteCost, textByteCost = 2, 1
	// jsonValueCost is what a value of a JSON text takes when it is decoded. The shortest ones
	// take two bytes of text; the elements of a list, which doubles as it grows, up to 60 bytes
	// for each comma or brace.
	jsonValueCost = 64
	// readStep is the least number of bytes that are read and charged at a time.
	readStep = 16 << 10
)

// ReadJSON decodes a body of at most limit bytes, which must be whole and one JSON text. What
// the text and its values take, beyond a small amount, is charged until the body is closed. The
// error is a *BodyTooLongError, a *NoRoomError, that of Read or that of the decoder.
func (b *Body) ReadJSON(limit int64, into any) error {
	data, charged, err := b.readAll(limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return err
	}
	// The buffer is no longer held.
	kept := jsonCost(data) - int64(len(data))*bufferByteCost - b.free
	b.Return(charged - min(charged, max(kept, 0)))
	return nil
}

// Discard reads the rest of a body of at most limit bytes, which must be whole. The error is a
// *BodyTooLongError or that of Read.
func (b *Body) Discard(limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(b, limit+1))
	if err == nil && n > limit {
		return &BodyTooLongError{Limit: limit}
	}
	return err
}

// ChargeAll makes ReadJSON charge small bodies too. It is for a reader that keeps what it has
// read of many responses.
func (b *Body) ChargeAll() { b.free = 0 }

// jsonCost returns what a part of a JSON text takes, with its decoded values.
func jsonCost(p []byte) int64 {
	values := 0
	for _, c := range p {
		switch c {
		case ',', ':', '{', '[':
			values++
		}
	}
	return int64(len(p))*(bufferByteCost+textByteCost) + int64(values)*jsonValueCost
}

// readAll reads the rest of the body step by step and charges each step before it is kept. It
// returns the number of bytes that were charged.
func (b *Body) readAll(limit int64) (whole []byte, charged int64, err error) {
	if b.response.ContentLength > limit {
		return nil, 0, &BodyTooLongError{Limit: limit}
	}
	var data bytes.Buffer
	cost := int64(0)
	for {
		data.Grow(readStep)
		room := data.AvailableBuffer()
		n, err := b.Read(room[:min(int64(cap(room)), limit+1-int64(data.Len()))])
		part := room[:n]
		cost += jsonCost(part)
		if missing := cost - b.free - charged; missing > 0 {
			missing = max(missing, chargeStep)
			if err := b.Take(missing); err != nil {
				return nil, 0, err
			}
			charged += missing
		}
		data.Write(part)
		switch {
		case int64(data.Len()) > limit:
			return nil, 0, &BodyTooLongError{Limit: limit}
		case err == io.EOF:
			return data.Bytes(), charged, nil
		case err != nil:
			return nil, 0, err
		}
	}
}
