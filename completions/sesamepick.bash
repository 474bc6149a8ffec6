# Completion of sesamepick for bash.
_sesamepick ()
{
  local current=${COMP_WORDS[COMP_CWORD]}
  local commands="amend apply audit bill config confirm explain jobs plan plans status withdraw"
  local options="--operator-ports= --entry-ports= --operator= --timeout-ms= --against= --output=text --output=json --help --version"
  case "$current" in
    -*) mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current"); return ;;
  esac
  local word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in
      config)
        if [ "${COMP_WORDS[COMP_CWORD-1]}" = config ]; then mapfile -t COMPREPLY < <(compgen -W check -- "$current")
        else mapfile -t COMPREPLY < <(compgen -f -- "$current"); fi
        return ;;
      apply|plan|amend) mapfile -t COMPREPLY < <(compgen -f -- "$current"); return ;;
      confirm|withdraw|plans)
        mapfile -t COMPREPLY < <(compgen -W "$(sesamepick plans 2>/dev/null | cut -d' ' -f1)" -- "$current")
        return ;;
      audit|bill|explain|jobs|status) return ;;
    esac
  done
  mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current")
}
complete -F _sesamepick sesamepick
