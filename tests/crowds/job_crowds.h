#ifndef SESAMEPICK_TESTS_CROWDS_JOB_CROWDS_H
#define SESAMEPICK_TESTS_CROWDS_JOB_CROWDS_H

#include "../jobd/hosts.h"
#include "machine.h"

/* Three job daemons, one of which meets a crowd. */
struct job_crowds
{
  struct hosts hosts;
  /* Index of the host that leads, and which the crowds call. */
  unsigned leader;
  unsigned n_jobs;
};

/* Starts the daemons with the limits of the small machine. */
void job_crowds_start (struct job_crowds *crowds);
void job_crowds_stop (struct job_crowds *crowds);
/* Creates a crowd that calls the leader at its callers' port, unless config names another one. */
struct crowd *job_crowds_create (const struct job_crowds *crowds,
                                 const struct crowd_config *config);
/* Submits an ordinary job to the host that the crowds call, again under the same id while there is
 * no response or a refusal, as callers do. Returns whether it was accepted. */
bool job_crowds_serve_ordinary (struct job_crowds *crowds);
/* Checks that a crowd's host still runs, has answered an ordinary request beside the crowd, and
 * has stayed within the machine; answers another one after the crowd has left. */
void job_crowds_check (struct job_crowds *crowds, struct crowd *crowd);
/* Starts the daemons, lets a crowd send what it can, checks, and stops the daemons. store is the
 * mode of the store meanwhile (hosts_set_faults). */
void job_crowds_play (const struct crowd_config *config, const char *store);

#endif
