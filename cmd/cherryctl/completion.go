package main

import "fmt"

// bashCompletion asks the tool itself, as its flag library offers.
const bashCompletion = `_cherryctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
  return 0
}
complete -F _cherryctl cherryctl
`

type completionCommand struct{}

// Execute prints a completion for bash, and for zsh with bashcompinit.
func (c *completionCommand) Execute([]string) error {
	fmt.Print(bashCompletion)
	return nil
}
