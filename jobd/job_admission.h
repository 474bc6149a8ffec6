#ifndef SESAMEPICK_JOBD_JOB_ADMISSION_H
#define SESAMEPICK_JOBD_JOB_ADMISSION_H

#include "command.pb-c.h"
#include "command_sender.h"
#include "jobd.h"
#include "lib/jobs/scheduler.h"

/* Admission by load on a host: keeps the leader's forecasts and refuses jobs that would certainly
 * be done too late. On the host that leads, makes the forecasts known to all. */
struct job_admission;

/* Returns NULL where the setting load_admission is 0; the other functions then do nothing. */
struct job_admission *job_admission_create (struct jobd *jobd);
void job_admission_destroy (struct job_admission *admission);
/* Takes over the forecasts of a leader's batch. */
void job_admission_on_batch (struct job_admission *admission, const Sp__CommandBatch *batch);
/* Passes the scheduler's forecasts to all hosts and to this one, when they are due. */
void job_admission_publish (struct job_admission *admission, const struct scheduler *scheduler,
                            struct command_sender *sender);
/* Counts a job that has been read from the journal. */
void job_admission_on_defined (struct job_admission *admission, const struct job *job);
/* Notes that a record of a job is appended here, so that a repetition of the request is never
 * refused: the job may be stored. */
void job_admission_on_append (struct job_admission *admission, const char *id);
/* Returns the seconds after which a caller should send a job again that is refused, or 0 if it is
 * accepted. definition is that of a job that isn't known. */
int job_admission_refuse (struct job_admission *admission, const Sp__JobDefinition *definition);

#endif
