package kernel

import (
	"fmt"
	"strings"
)

// DuplicateServiceError reports a second registration under one name.
type DuplicateServiceError struct{ Name string }

func (e *DuplicateServiceError) Error() string {
	return fmt.Sprintf("service %q is already registered", e.Name)
}

// InvalidNameError reports a service name that is not dotted lower case.
type InvalidNameError struct{ Name string }

func (e *InvalidNameError) Error() string {
	return fmt.Sprintf("service name %q must be dotted lower-case words", e.Name)
}

// UnknownServiceError reports a look-up of a service that the host does not run.
type UnknownServiceError struct {
	Name string
	// Wanted is the service that asked, empty for a look-up from outside.
	Wanted string
}

func (e *UnknownServiceError) Error() string {
	if e.Wanted == "" {
		return fmt.Sprintf("service %q is not in this process", e.Name)
	}
	return fmt.Sprintf("service %q, needed by %q, is not in this process", e.Name, e.Wanted)
}

// ServiceTypeError reports a service that lacks the interface asked for.
type ServiceTypeError struct {
	Name string
	Want string
	Got  string
}

func (e *ServiceTypeError) Error() string {
	return fmt.Sprintf("service %q is a %s, which is not a %s", e.Name, e.Got, e.Want)
}

// DependencyCycleError reports services that need each other.
type DependencyCycleError struct{ Path []string }

func (e *DependencyCycleError) Error() string {
	return "services depend on each other: " + strings.Join(e.Path, " -> ")
}

// MissingValueError reports a host value that was not supplied.
type MissingValueError struct{ Type string }

func (e *MissingValueError) Error() string {
	return fmt.Sprintf("the host has no value of type %s", e.Type)
}

// PhaseError wraps the failure of one service in one phase of its life.
type PhaseError struct {
	Service string
	Phase   string
	Err     error
}

func (e *PhaseError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Phase, e.Service, e.Err)
}

// Unwrap returns the failure of the service.
func (e *PhaseError) Unwrap() error { return e.Err }

// MailboxFullError reports an event that was refused because its mailbox is full.
type MailboxFullError struct{ Mailbox string }

func (e *MailboxFullError) Error() string {
	return fmt.Sprintf("mailbox %q is full", e.Mailbox)
}

// LoopStoppedError reports an event posted to a control loop that is not running.
type LoopStoppedError struct{ Mailbox string }

func (e *LoopStoppedError) Error() string {
	return fmt.Sprintf("mailbox %q: the control loop is not running", e.Mailbox)
}

// CanceledError reports a caller that gave up before its event was taken or answered.
type CanceledError struct {
	Mailbox string
	Err     error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("mailbox %q: %v", e.Mailbox, e.Err)
}

// Unwrap returns the cause given by the caller's context.
func (e *CanceledError) Unwrap() error { return e.Err }
