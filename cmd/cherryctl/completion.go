package main

import "fmt"

// bashCompletion calls the tool itself, using the completion support of its flag library.
const bashCompletion = `_cherryctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
  return 0
}
complete -F _cherryctl cherryctl
`

type completionCommand struct{}

// Execute prints a completion script for bash, or zsh with bashcompinit.
func (c *completionCommand) Execute([]string) error {
	fmt.Print(bashCompletion)
	return nil
}
