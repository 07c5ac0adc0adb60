package idemkey

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// prefix starts bound keys of every version.
	prefix = "mfk"
	// version is the only supported version of the text form.
	version = "1"
	// separator separates the fields of a bound key.
	separator = ":"

	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 255
	// MaxUpstreamBytes is the maximum length of the upstream name in a bound key.
	MaxUpstreamBytes = 64
	// RandomBytes is the length of the random part of a bound key.
	RandomBytes = 16

	boundFields = 5
	hex64Digits = 16
)

// Bound is a key issued for one incarnation of one upstream's agent.
type Bound struct {
	Upstream    string
	Incarnation api.Incarnation
	// Issued is the elapsed time of the agent that the issuing router last
	// received. It is never later than the time of issue on the agent's clock.
	Issued time.Duration
	Random [RandomBytes]byte
}

// String returns the only valid text form of the key.
func (b Bound) String() string {
	return strings.Join([]string{
		prefix + version,
		b.Upstream,
		formatHex64(uint64(b.Incarnation)),
		formatHex64(uint64(b.Issued)),
		hex.EncodeToString(b.Random[:]),
	}, separator)
}

// New returns a bound key, or a FieldError if a value has no valid text form.
func New(upstream string, i api.Incarnation, issued time.Duration, random [RandomBytes]byte) (Bound, error) {
	b := Bound{Upstream: upstream, Incarnation: i, Issued: issued, Random: random}
	return b, b.validate()
}

// Key is a parsed key, either bound or caller-made.
type Key struct {
	Text string
	// Bound is nil for a caller-made key.
	Bound *Bound
}

// Parse parses a key sent by a caller. A text with the prefix of a bound key must be
// a valid bound key, so that a malformed bound key is not accepted as a caller-made
// key.
func Parse(text string) (Key, error) {
	if err := validateText(text); err != nil {
		return Key{}, err
	}
	if !hasBoundPrefix(text) {
		return Key{Text: text}, nil
	}
	b, err := ParseBound(text)
	if err != nil {
		return Key{}, err
	}
	return Key{Text: text, Bound: &b}, nil
}

// ParseBound parses a bound key. It accepts only texts that Bound.String returns.
func ParseBound(text string) (Bound, error) {
	if err := validateText(text); err != nil {
		return Bound{}, err
	}
	fields := strings.Split(text, separator)
	if v, ok := strings.CutPrefix(fields[0], prefix); !ok || v != version {
		return Bound{}, &VersionError{Version: fields[0]}
	}
	if len(fields) != boundFields {
		return Bound{}, &FieldCountError{Got: len(fields)}
	}
	incarnation, err := parseHex64("incarnation", fields[2])
	if err != nil {
		return Bound{}, err
	}
	issuedAt, err := parseHex64("issued", fields[3])
	if err != nil {
		return Bound{}, err
	}
	b := Bound{Upstream: fields[1], Incarnation: api.Incarnation(incarnation), Issued: time.Duration(issuedAt)}
	if !isLowerHex(fields[4], hex.EncodedLen(RandomBytes)) {
		return Bound{}, &FieldError{Field: "random", Text: fields[4]}
	}
	if _, err := hex.Decode(b.Random[:], []byte(fields[4])); err != nil {
		return Bound{}, &FieldError{Field: "random", Text: fields[4]}
	}
	return b, b.validate()
}

// hasBoundPrefix reports whether a text starts with the prefix of a bound key of any
// version.
func hasBoundPrefix(text string) bool {
	first, _, found := strings.Cut(text, separator)
	v, hasPrefix := strings.CutPrefix(first, prefix)
	if !found || !hasPrefix || v == "" {
		return false
	}
	for _, c := range []byte(v) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

func (b Bound) validate() error {
	if b.Upstream == "" || len(b.Upstream) > MaxUpstreamBytes {
		return &FieldError{Field: "upstream", Text: b.Upstream}
	}
	for _, c := range []byte(b.Upstream) {
		if !isNameByte(c) {
			return &FieldError{Field: "upstream", Text: b.Upstream}
		}
	}
	if b.Incarnation == 0 {
		return &FieldError{Field: "incarnation", Text: formatHex64(0)}
	}
	if b.Issued < 0 {
		return &FieldError{Field: "issued", Text: formatHex64(uint64(b.Issued))}
	}
	return nil
}

func validateText(text string) error {
	if text == "" || len(text) > MaxKeyBytes {
		return &LengthError{Bytes: len(text)}
	}
	for i, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return &CharacterError{Offset: i}
		}
	}
	return nil
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

func formatHex64(v uint64) string {
	text := strconv.FormatUint(v, 16)
	return strings.Repeat("0", hex64Digits-len(text)) + text
}

func parseHex64(field, text string) (uint64, error) {
	if !isLowerHex(text, hex64Digits) {
		return 0, &FieldError{Field: field, Text: text}
	}
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &FieldError{Field: field, Text: text}
	}
	return v, nil
}

func isLowerHex(text string, length int) bool {
	if len(text) != length {
		return false
	}
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
