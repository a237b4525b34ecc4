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

// completionLevel holds the words that can follow a path of subcommands.
type completionLevel struct {
	path  string
	words []string
}

// completionHead is the start of the script. It determines the path of
// subcommands before the word to complete.
const completionHead = `_rosemaryctl() {
  local path="" word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in -*) ;; *) path="$path $word" ;; esac
  done
  local words=""
  case "${path# }" in`

// completionTail is the end of the script. It offers the words of the path.
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
	for _, level := range completionLevels("", reflect.TypeFor[arguments]()) {
		fmt.Fprintf(t.out, "    %q) words=%q ;;\n", level.path, strings.Join(level.words, " "))
	}
	fmt.Fprintln(t.out, completionTail)
	return nil
}

// completionLevels returns the completions of argsType, a struct of go-arg
// arguments, and of its subcommands. It reads them from the arg tags.
func completionLevels(path string, argsType reflect.Type) []completionLevel {
	level := completionLevel{path: path}
	var nested []completionLevel
	for i := range argsType.NumField() {
		field := argsType.Field(i)
		if field.Anonymous {
			level.words = append(level.words, completionLevels(path, field.Type)[0].words...)
			continue
		}
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			name, isCommand := strings.CutPrefix(part, "subcommand:")
			switch {
			case isCommand:
				level.words = append(level.words, name)
				nested = append(nested, completionLevels(strings.TrimSpace(path+" "+name), field.Type.Elem())...)
			case strings.HasPrefix(part, "--"):
				level.words = append(level.words, part)
			}
		}
	}
	return append([]completionLevel{level}, nested...)
}
