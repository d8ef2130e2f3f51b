const SUCCESS_END = 300;

export function isSuccessStatus(status: number): boolean {
  return status < SUCCESS_END;
}
