# Completion of sesamepick for fish.
complete -c sesamepick -f
set -l commands amend apply audit bill config confirm explain jobs plan plans status withdraw
complete -c sesamepick -n "not __fish_seen_subcommand_from $commands" -a "$commands"
complete -c sesamepick -n "__fish_seen_subcommand_from apply plan amend" -F
complete -c sesamepick -n "__fish_seen_subcommand_from confirm withdraw plans" -a "(sesamepick plans 2>/dev/null | string split -f1 ' ')"
complete -c sesamepick -n "__fish_seen_subcommand_from config; and not __fish_seen_subcommand_from check" -a check
complete -c sesamepick -n "__fish_seen_subcommand_from check" -F
complete -c sesamepick -l against -r -F -d "File with the configuration in force"
complete -c sesamepick -l entry-ports -x -d "Readiness addresses of the entry hosts that schedule jobs"
complete -c sesamepick -l operator-ports -x -d "Operator addresses of the fleetds"
complete -c sesamepick -l operator -x -d "Operator's name under which changes are recorded"
complete -c sesamepick -l timeout-ms -x -d "Timeout of one command"
complete -c sesamepick -l output -x -a "text json" -d "Output format"
