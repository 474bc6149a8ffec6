#include <errno.h>

#include "worker.h"

/* Reads faults from JSON; those not named are off. Returns 0 or -EINVAL. */
int
worker_faults_read (struct worker_faults *faults, json_t *json)
{
  int oversize = 0;
  int hang = 0;
  int before = 0;
  int after = 0;
  int truncate = 0;
  int forge = 0;
  int refuse = 0;
  int leaving = 0;
  struct worker_faults read = { .slow = 1 };

  if (json_unpack (json, "{s?i s?i s?i s?b s?b s?b s?b s?b s?b s?b !}", "fail", &read.fail, "slow",
                   &read.slow, "oversize", &oversize, "hang", &hang, "close_before_run", &before,
                   "close_after_run", &after, "truncate", &truncate, "lie", &forge, "refuse",
                   &refuse, "leaving", &leaving) != 0 ||
      read.slow < 1 || oversize < 0)
    return -EINVAL;
  read.oversize = (size_t) oversize;
  read.hang = hang;
  read.close_before_run = before;
  read.close_after_run = after;
  read.truncate = truncate;
  read.forge = forge;
  read.refuse = refuse;
  read.leaving = leaving;
  *faults = read;
  return 0;
}
