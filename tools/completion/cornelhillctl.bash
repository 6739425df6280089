# Bash completion for cornelhillctl; source this file to enable it.
# Subcommands and flags are parsed from the output of --help.

_cornelhillctl() {
  local word=${COMP_WORDS[COMP_CWORD]} program=${COMP_WORDS[0]}
  COMPREPLY=()
  if ((COMP_CWORD == 1)); then
    local names
    names=$("$program" --help 2>/dev/null |
      sed -n '/^subcommands:/,/^$/s/^  \([a-z_-]*\) .*/\1/p')
    mapfile -t COMPREPLY < <(compgen -W "$names --help" -- "$word")
  elif [[ $word == -* ]]; then
    local flags
    flags=$("$program" "${COMP_WORDS[1]}" --help 2>/dev/null |
      sed -n '/^flags:/,/^$/s/^  \(--[a-z_]*=\{0,1\}\).*/\1/p')
    mapfile -t COMPREPLY < <(compgen -W "$flags --help" -- "$word")
    if [[ ${COMPREPLY[0]-} == *= ]]; then compopt -o nospace; fi
  else
    mapfile -t COMPREPLY < <(compgen -f -- "$word")
  fi
}

complete -o filenames -F _cornelhillctl cornelhillctl
