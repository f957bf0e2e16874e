# Starts a program of one Maven module; builds the modules first when they have not been built.
# Usage: . bin/launch.sh; launch MODULE MAIN_CLASS [JVM_OPTION...] -- ARGUMENT...
root=$(cd "$(dirname "$0")/.." && pwd)

# True when the programs were built after the last change of their sources.
up_to_date() {
  [ -f "$root/target/programs-built" ] || return 1
  [ -z "$(find "$root" -path '*/src/main/*' -newer "$root/target/programs-built" -type f -print -quit)" ]
}

build_once() {
  up_to_date && return 0
  mkdir -p "$root/target"
  (
    flock 9
    up_to_date && exit 0
    echo "building ragwortlever; this takes a minute or two" >&2
    (cd "$root" && mvn -q -B -DskipTests package >&2) || exit 1
    touch "$root/target/programs-built"
  ) 9>"$root/target/build.lock"
}

launch() {
  module=$1
  main_class=$2
  shift 2
  options=
  while [ "$1" != "--" ]; do
    options="$options $1"
    shift
  done
  shift
  build_once || exit 1
  classpath="$root/$module/target/classes:$root/core/target/classes:$root/http/target/classes:$root/$module/target/lib/*"
  [ "$module" = bench ] && classpath="$classpath:$root/daemon/target/classes"
  # shellcheck disable=SC2086
  exec java $options -cp "$classpath" "$main_class" "$@"
}
