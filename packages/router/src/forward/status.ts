const FIRST_REDIRECT_STATUS = 300;

export function isSuccessStatus(status: number): boolean {
  return status < FIRST_REDIRECT_STATUS;
}
