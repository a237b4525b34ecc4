package main

import (
	"context"
	"fmt"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

type completionCommand struct {
	Shell string `arg:"positional,required" help:"bash or zsh"`
}

// words are what may follow a command line, by the subcommands so far.
type words struct {
	path  string
	words []string
}

// completionHead finds the path of subcommands before the word to complete.
const completionHead = `_rosemaryctl() {
  local path="" word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in -*) ;; *) path="$path $word" ;; esac
  done
  local words=""
  case "${path# }" in`

// completionTail offers the words found.
const completionTail = `  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _rosemaryctl rosemaryctl`

func (c *completionCommand) run(_ context.Context, t *tool) error {
	switch c.Shell {
	case "bash":
	case "zsh":
		fmt.Fprintln(t.out, "autoload -U +X bashcompinit && bashcompinit")
	default:
		return errors.Wrapf(errUsage, "no completion for shell %q", c.Shell)
	}
	fmt.Fprintln(t.out, completionHead)
	for _, level := range collect("", reflect.TypeFor[arguments]()) {
		fmt.Fprintf(t.out, "    %q) words=%q ;;\n", level.path, strings.Join(level.words, " "))
	}
	fmt.Fprintln(t.out, completionTail)
	return nil
}

// collect reads the subcommands and flags from the arguments' declarations.
func collect(path string, declared reflect.Type) []words {
	level := words{path: path}
	var below []words
	for i := range declared.NumField() {
		field := declared.Field(i)
		if field.Anonymous {
			level.words = append(level.words, collect(path, field.Type)[0].words...)
			continue
		}
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			name, isCommand := strings.CutPrefix(part, "subcommand:")
			switch {
			case isCommand:
				level.words = append(level.words, name)
				below = append(below, collect(strings.TrimSpace(path+" "+name), field.Type.Elem())...)
			case strings.HasPrefix(part, "--"):
				level.words = append(level.words, part)
			}
		}
	}
	return append([]words{level}, below...)
}
