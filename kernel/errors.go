package kernel

import (
	"fmt"
	"strings"
)

// DuplicateServiceError reports a second registration under the same name.
type DuplicateServiceError struct{ Name string }

func (e *DuplicateServiceError) Error() string {
	return fmt.Sprintf("service %q is already registered", e.Name)
}

// InvalidNameError reports a service name that is not made of lower-case words
// separated by dots.
type InvalidNameError struct{ Name string }

func (e *InvalidNameError) Error() string {
	return fmt.Sprintf("invalid service name %q: want lower-case words separated by dots", e.Name)
}

// UnknownServiceError reports a lookup of a service that the host does not run.
type UnknownServiceError struct {
	Name string
	// RequiredBy is the service that made the lookup, empty for a lookup from outside.
	RequiredBy string
}

func (e *UnknownServiceError) Error() string {
	if e.RequiredBy == "" {
		return fmt.Sprintf("service %q does not run in this process", e.Name)
	}
	return fmt.Sprintf("service %q, required by %q, does not run in this process", e.Name, e.RequiredBy)
}

// ServiceTypeError reports a service that does not implement the requested
// interface.
type ServiceTypeError struct {
	Name string
	Want string
	Got  string
}

func (e *ServiceTypeError) Error() string {
	return fmt.Sprintf("service %q of type %s does not implement %s", e.Name, e.Got, e.Want)
}

// DependencyCycleError reports services that depend on each other. Path lists the
// services of the cycle in lookup order.
type DependencyCycleError struct{ Path []string }

func (e *DependencyCycleError) Error() string {
	return "dependency cycle between services: " + strings.Join(e.Path, " -> ")
}

// MissingValueError reports a lookup of a value that is not in the options of the
// host.
type MissingValueError struct{ Type string }

func (e *MissingValueError) Error() string {
	return fmt.Sprintf("host options contain no value of type %s", e.Type)
}

// PhaseError wraps the error of one service in one phase of its life cycle.
type PhaseError struct {
	Service string
	// Phase is "provision", "validate", "start" or "stop".
	Phase string
	Err   error
}

func (e *PhaseError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Phase, e.Service, e.Err)
}

// Unwrap returns the error of the service.
func (e *PhaseError) Unwrap() error { return e.Err }

// MailboxFullError reports an event that was dropped because its mailbox was full.
type MailboxFullError struct{ Mailbox string }

func (e *MailboxFullError) Error() string {
	return fmt.Sprintf("mailbox %q is full", e.Mailbox)
}

// LoopStoppedError reports an event posted to a control loop that is not running.
type LoopStoppedError struct{ Mailbox string }

func (e *LoopStoppedError) Error() string {
	return fmt.Sprintf("mailbox %q: the control loop is not running", e.Mailbox)
}

// CanceledError reports that the context of the sender ended before the event
// entered the mailbox or the call was answered.
type CanceledError struct {
	Mailbox string
	Err     error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("mailbox %q: %v", e.Mailbox, e.Err)
}

// Unwrap returns the cause from the context.
func (e *CanceledError) Unwrap() error { return e.Err }
