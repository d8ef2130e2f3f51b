// Listens for SIGHUP from the start of the process, because its default action ends the process.
// Programs import this module first.

let isPending = false;
let onReload = (): void => {
  isPending = true;
};

process.on('SIGHUP', () => onReload());

/** Calls `reload` at each SIGHUP, and now if one came before. */
export function handleReloadSignal(reload: () => void): void {
  onReload = reload;
  if (!isPending) return;
  isPending = false;
  reload();
}
