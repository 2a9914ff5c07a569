package main

import (
	"context"
	"fmt"
)

type drainCommand struct {
	Args struct {
		Host string `positional-arg-name:"HOST"`
	} `positional-args:"yes" required:"yes"`
}

// Execute drains an entry host.
func (c *drainCommand) Execute([]string) error {
	if err := newClient().Drain(context.Background(), c.Args.Host); err != nil {
		return err
	}
	fmt.Printf("%s is draining: not ready, its runners are handed over; stop its process when its streams have ended\n", c.Args.Host)
	return nil
}
