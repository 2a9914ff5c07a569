package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
)

type digestCommand struct{}

// Execute prints the digest of a key as used in the inventory and in --operator.
func (c *digestCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return errors.Wrap(err, "no key on standard input")
	}
	digest := sha256.Sum256([]byte(key))
	fmt.Println(hex.EncodeToString(digest[:]))
	return nil
}
