package main

import "fmt"

type burnCommand struct {
	From []string `required:"" help:"Admin addresses of routers, IP and port."`
}

func (c burnCommand) Run(s streams) error {
	_, err := fmt.Fprintln(s.out, c.From)
	return err
}
