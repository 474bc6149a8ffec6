#ifndef SESAMEPICK_CLI_COMMAND_H
#define SESAMEPICK_CLI_COMMAND_H

#include <stdbool.h>

#include "cli/client.h"

/* Arguments of a command. operands is NULL-terminated and does not contain the command's name. */
struct command_context
{
  struct client *client;
  bool json;
  char **operands;
  int n_operands;
  /* File of --against; empty if none was given. */
  const char *against;
};

struct command
{
  const char *name;
  const char *operands_usage;
  const char *summary;
  int min_operands;
  int max_operands;
  enum exit_code (*run) (const struct command_context *context);
};

enum exit_code command_amend (const struct command_context *context);
enum exit_code command_apply (const struct command_context *context);
enum exit_code command_audit (const struct command_context *context);
enum exit_code command_bill (const struct command_context *context);
enum exit_code command_config (const struct command_context *context);
enum exit_code command_confirm (const struct command_context *context);
enum exit_code command_explain (const struct command_context *context);
enum exit_code command_jobs (const struct command_context *context);
enum exit_code command_plan (const struct command_context *context);
enum exit_code command_plans (const struct command_context *context);
enum exit_code command_status (const struct command_context *context);
enum exit_code command_withdraw (const struct command_context *context);

/* Prints the JSON of a reply, with print or as JSON if the output format is json. */
void command_print (const struct command_context *context, const json_t *answer,
                    void (*print) (const json_t *answer));

/* Makes a call, prints the JSON of its reply like command_print, and returns the exit code. */
enum exit_code command_call (const struct command_context *context, const char *method,
                             const char *path, const json_t *body,
                             void (*print) (const json_t *answer));

#endif
