package main

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/burnreport"
)

// pageMode lets others on the machine read a report.
const pageMode = 0o644

type burnCommand struct {
	From []string `required:"" placeholder:"ADDR" help:"Admin addresses of routers, IP and port."`
	JSON bool     `help:"Print JSON."`
	HTML string   `name:"html" placeholder:"FILE" help:"Write one page of HTML to this file."`
}

// AddressError reports text that is not an IP address and port.
type AddressError struct{ Text string }

func (e *AddressError) Error() string { return "not an IP address and port: " + e.Text }

// Validate checks the addresses while the command line is parsed.
func (c *burnCommand) Validate() error {
	for _, text := range c.From {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return &AddressError{Text: text}
		}
	}
	return nil
}

// Run prints the report. Routers that cannot be read are listed in it; it is an
// error if none can be read.
func (c *burnCommand) Run(s streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	addresses := slices.Compact(slices.Sorted(slices.Values(c.From)))
	summary := burnreport.Read(ctx, addresses)
	if c.HTML != "" {
		var page bytes.Buffer
		if err := burnreport.WritePage(&page, summary, time.Now()); err != nil {
			return err
		}
		if err := os.WriteFile(c.HTML, page.Bytes(), pageMode); err != nil {
			return &FileError{Path: c.HTML, Err: err}
		}
	}
	write := burnreport.WriteTable
	if c.JSON {
		write = burnreport.WriteJSON
	}
	if err := write(s.out, summary); err != nil {
		return err
	}
	return burnreport.AnyRead(summary)
}
