package idemkey

import "fmt"

// LengthError reports a key that is empty or too long.
type LengthError struct{ Bytes int }

func (e *LengthError) Error() string {
	return fmt.Sprintf("a key must have 1 to %d bytes, this key has %d", MaxKeyBytes, e.Bytes)
}

// CharacterError reports a byte that is not allowed in a key.
type CharacterError struct{ Offset int }

func (e *CharacterError) Error() string {
	return fmt.Sprintf("byte %d of the key is not a visible ASCII character", e.Offset)
}

// VersionError reports a bound key of an unsupported version.
type VersionError struct{ Version string }

func (e *VersionError) Error() string {
	return fmt.Sprintf("key version %q is not supported", e.Version)
}

// FieldCountError reports a bound key with missing or additional fields.
type FieldCountError struct{ Got int }

func (e *FieldCountError) Error() string {
	return fmt.Sprintf("a bound key must have %d fields, this key has %d", boundFields, e.Got)
}

// FieldError reports an invalid field of a bound key.
type FieldError struct {
	Field string
	Text  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s of the key is invalid: %q", e.Field, e.Text)
}
