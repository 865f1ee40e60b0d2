# bash completion for agatecrank; source this file or install it as
# /usr/share/bash-completion/completions/agatecrank.

_agatecrank() {
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
    local command=${COMP_WORDS[1]} options="--config --output --help"
    local commands="keygen check diff publish history status hosts lines
        services callers selectors upstreams shares explain drain undrain
        quarantine top trace call"

    COMPREPLY=()
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "$commands --help --version" -- "$current"))
        return
    fi
    case $previous in
    -o | --output)
        COMPREPLY=($(compgen -W "text json" -- "$current"))
        return
        ;;
    -c | --config)
        COMPREPLY=($(compgen -f -- "$current"))
        return
        ;;
    esac
    case $command in
    keygen) options="--peer --help" ;;
    check) options="--settings --routes --against --json --help" ;;
    publish) options="$options --id --base --dry-run" ;;
    history) options="$options --author --limit" ;;
    status) options="$options --author" ;;
    upstreams | shares) options="$options --service" ;;
    drain | undrain) options="$options --service --id" ;;
    quarantine) options="$options list release" ;;
    top) options="$options --count --interval-ms" ;;
    call) options="$options GET POST" ;;
    esac
    COMPREPLY=($(compgen -W "$options" -- "$current"))
    case $command in
    keygen | check | diff | publish)
        COMPREPLY+=($(compgen -f -- "$current"))
        ;;
    esac
}
complete -F _agatecrank agatecrank
