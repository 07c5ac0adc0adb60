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

// reportFileMode makes the report readable for other users of the machine.
const reportFileMode = 0o644

type burnCommand struct {
	From []string `required:"" placeholder:"ADDR" help:"Admin addresses of routers, IP and port."`
	JSON bool     `help:"Print JSON."`
	HTML string   `name:"html" placeholder:"FILE" help:"Write an HTML page to this file."`
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

// Run prints the report, which lists the routers that cannot be read. It returns an
// error if no router can be read.
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
		if err := os.WriteFile(c.HTML, page.Bytes(), reportFileMode); err != nil {
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
	return burnreport.CheckAnyRead(summary)
}
