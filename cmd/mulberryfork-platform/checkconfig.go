package main

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"

	"github.com/mulberryfork/mulberryfork/configreport"
	"github.com/mulberryfork/mulberryfork/decide/configcheck"
	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/platform"
)

type checkConfigCommand struct {
	configreport.Options
	File    string `arg:"" help:"Configuration document (JSON)."`
	Against string `placeholder:"FILE|ADDR" help:"Document in force, or the IP address and port of the store that has it, to show the differences from."`
}

func (c checkConfigCommand) Run() error { return c.run(os.Stdout) }

func (c checkConfigCommand) run(w io.Writer) error {
	process, err := c.Process(settings.Edge)
	if err != nil {
		return err
	}
	data, err := readDocument(c.File)
	if err != nil {
		return &configreport.StatusError{Status: configreport.StatusErrors, Err: err}
	}
	checked := platform.CheckConfig(c.File, data, process)
	report := configreport.Report{Findings: checked.Findings, Summary: checked.Summary}
	if c.Against != "" && configcheck.Refusal(checked.Findings, 1) == nil {
		before, err := readAgainst(c.Against)
		if err != nil {
			return &configreport.StatusError{Status: configreport.StatusErrors, Err: err}
		}
		report.Findings = append(report.Findings, configcheck.CheckAgainst(before, checked.Model)...)
		report.Compared, report.Differences = true, configcheck.Diff(before, checked.Model)
	}
	return configreport.Write(w, report, c.Options)
}

// readDocument reads a file. It stops one byte after the size of the largest document, which
// the check then reports.
func readDocument(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	data, err := io.ReadAll(io.LimitReader(file, platform.MaxConfigBytes+1))
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return data, nil
}

// readAgainst reads the configuration in force from a file or from the store.
func readAgainst(source string) (*configcheck.Model, error) {
	var data []byte
	var err error
	if _, notAddress := netip.ParseAddrPort(source); notAddress == nil {
		data, err = platform.ReadPublishedConfig(context.Background(), source)
	} else {
		data, err = readDocument(source)
	}
	if err != nil {
		return nil, err
	}
	checked := platform.CheckConfig(source, data, nil)
	if checked.Model == nil {
		return nil, configcheck.Refusal(checked.Findings, 1)
	}
	return checked.Model, nil
}
