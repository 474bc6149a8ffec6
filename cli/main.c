#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/command.h"
#include "common/settings.h"

enum
{
  /* More than settings_read accepts. */
  OPERANDS_UNLIMITED = 1000,
};

static const struct command commands[] = {
  { "amend", "ID FILE", "Replace a proposed plan with one for the intent in FILE", 2, 2,
    command_amend },
  { "apply", "FILE...", "Apply the declarations in the files, all or none", 1, OPERANDS_UNLIMITED,
    command_apply },
  { "audit", "[COUNT]", "Show the latest changes: time, author, change, verdict, reason", 0, 1,
    command_audit },
  { "bill", "[YYYY-MM]", "Show a month's bill: actual, forecast, invoice, differences by cause", 0,
    1, command_bill },
  { "config", "check FILE", "Check a configuration file; with --against, compare it", 2, 2,
    command_config },
  { "confirm", "ID[@REVISION]", "Confirm a plan; revision 1 if none is given", 1, 1,
    command_confirm },
  { "explain", "ID", "Show a job's state and the decisions about it from all entry hosts", 1, 1,
    command_explain },
  { "jobs", "", "Show the number of jobs by queue and state", 0, 0, command_jobs },
  { "plan", "FILE", "Create a plan for the intent in FILE; nothing changes yet", 1, 1,
    command_plan },
  { "plans", "[ID]", "List all plans, or show one in full", 0, 1, command_plans },
  { "status", "", "Show pools, services and hosts", 0, 0, command_status },
  { "withdraw", "ID", "Withdraw a plan", 1, 1, command_withdraw },
};

enum
{
  N_COMMANDS = sizeof commands / sizeof commands[0],
};

/* Returns the command with a name, or NULL. */
static const struct command *
command_find (const char *name)
{
  for (size_t i = 0; i < N_COMMANDS; i++)
    {
      if (strcmp (commands[i].name, name) == 0)
        return &commands[i];
    }
  return NULL;
}

/* Builds the list of commands for --help. */
static char *
commands_summary (void)
{
  GString *text = g_string_new ("Submits intents for a fleet and confirms plans.\n\ncommands:\n");

  for (size_t i = 0; i < N_COMMANDS; i++)
    {
      g_autofree char *usage =
          g_strdup_printf ("%s %s", commands[i].name, commands[i].operands_usage);
      g_string_append_printf (text, "  %-24s %s\n", usage, commands[i].summary);
    }
  g_string_append (
      text, "\nExit codes: 0 success, 1 refused, 2 usage error, 75 unavailable (retry later).");
  return g_string_free (text, FALSE);
}

/* Runs the command that the first word names. */
static enum exit_code
command_run (const Sp__CliSettings *settings, char **words)
{
  int n_words = (int) g_strv_length (words);
  const struct command *command = n_words > 0 ? command_find (words[0]) : NULL;
  struct client client;
  struct command_context context = { .client = &client,
                                     .operands = words + 1,
                                     .n_operands = n_words - 1,
                                     .against = settings->against };
  enum exit_code code;

  if (!command)
    {
      fprintf (stderr, "sesamepick: \"%s\" is not a command; see sesamepick --help\n",
               n_words > 0 ? words[0] : "");
      return EXIT_CODE_USAGE;
    }
  if (context.n_operands < command->min_operands || context.n_operands > command->max_operands)
    {
      fprintf (stderr, "usage: sesamepick %s %s\n", command->name, command->operands_usage);
      return EXIT_CODE_USAGE;
    }
  context.json = strcmp (settings->output, "json") == 0;
  client_init (&client, settings);
  code = command->run (&context);
  client_finish (&client);
  return code;
}

int
main (int argc, char **argv)
{
  Sp__CliSettings settings = SP__CLI_SETTINGS__INIT;
  g_autofree char *summary = commands_summary ();
  g_auto (GStrv) words = NULL;

  switch (settings_read (&cli_schema, &settings.base, "sesamepick", summary, argc, argv,
                         "COMMAND [OPERAND]", &words))
    {
    case SETTINGS_INFO_PRINTED:
      return EXIT_CODE_DONE;
    case SETTINGS_INVALID:
      return EXIT_CODE_USAGE;
    case SETTINGS_OK:
      break;
    }
  if (strcmp (settings.output, "text") != 0 && strcmp (settings.output, "json") != 0)
    {
      fprintf (stderr, "sesamepick: --output: \"%s\" is not text or json\n", settings.output);
      return EXIT_CODE_USAGE;
    }
  return command_run (&settings, words);
}
