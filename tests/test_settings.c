#include <stdlib.h>

#include "common/program.h"
#include "settings.pb-c.h"
#include "suite.h"

/* Reads entryd's settings from a command line. */
static enum settings_result
read_words (Sp__EntrydSettings *settings, int argc, char **argv)
{
  sp__entryd_settings__init (settings);
  return settings_read (&entryd_schema, &settings->base, "sesamepick-entryd", "test", argc, argv,
                        NULL, NULL);
}

/* Without options and variables each setting has the default of its schema. */
static void
test_defaults (void)
{
  char *argv[] = { "x", NULL };
  Sp__EntrydSettings settings;

  CU_ASSERT_EQUAL (read_words (&settings, 1, argv), SETTINGS_OK);
  CU_ASSERT_EQUAL (settings.caller_port, 8080);
  CU_ASSERT_STRING_EQUAL (settings.slot_policy, "lend");
}

/* An option takes precedence over a variable, and a variable over the default. */
static void
test_order (void)
{
  char *argv[] = { "x", "--caller-port=9", NULL };
  Sp__EntrydSettings settings;

  setenv ("SESAMEPICK_CALLER_PORT", "7", 1);
  setenv ("SESAMEPICK_ADMIN_PORT", "8", 1);
  CU_ASSERT_EQUAL (read_words (&settings, 2, argv), SETTINGS_OK);
  CU_ASSERT_EQUAL (settings.caller_port, 9);
  CU_ASSERT_EQUAL (settings.admin_port, 8);
  unsetenv ("SESAMEPICK_CALLER_PORT");
  unsetenv ("SESAMEPICK_ADMIN_PORT");
}

/* Values that are out of range or not numbers, unknown options and operands are rejected. */
static void
test_refused (void)
{
  char *words[] = { "--caller-port=0", "--caller-port=65536", "--caller-port=x", "--caller-port=-1",
                    "--caller-port=",  "--no-such-flag=1",    "operand" };

  for (size_t i = 0; i < sizeof words / sizeof words[0]; i++)
    {
      char *argv[] = { "x", words[i], NULL };
      Sp__EntrydSettings settings;

      CU_ASSERT_EQUAL (read_words (&settings, 2, argv), SETTINGS_INVALID);
    }
}

/* Reads jobd's settings from one option. */
static enum settings_result
read_jobd (Sp__JobdSettings *settings, char *word)
{
  char *argv[] = { "x", word, NULL };

  sp__jobd_settings__init (settings);
  return settings_read (&jobd_schema, &settings->base, "sesamepick-jobd", "test", 2, argv, NULL,
                        NULL);
}

/* A setting of type double accepts fractions, within its range only. */
static void
test_fractions (void)
{
  char *bad[] = { "--processor-share=-1",   "--processor-share=1025", "--processor-share=",
                  "--processor-share=0.5x", "--processor-share=nan",  "--processor-share=inf" };
  Sp__JobdSettings settings;

  CU_ASSERT_EQUAL (read_jobd (&settings, "--processor-share=0.12"), SETTINGS_OK);
  CU_ASSERT_DOUBLE_EQUAL (settings.processor_share, 0.12, 1e-9);
  CU_ASSERT_EQUAL (read_jobd (&settings, "--processor-share=2"), SETTINGS_OK);
  CU_ASSERT_DOUBLE_EQUAL (settings.processor_share, 2.0, 1e-9);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (read_jobd (&settings, bad[i]), SETTINGS_INVALID);
}

/* A daemon starts with valid settings; --help yields exit code 0, an invalid log level or setting
 * 2. */
static void
test_start (void)
{
  static char *words[] = { NULL, "--help", "--log-level=loud", "--caller-port=0" };
  static const enum program_exit expected[] = { PROGRAM_STARTED, PROGRAM_EXIT_DONE,
                                                PROGRAM_EXIT_BAD_SETTINGS,
                                                PROGRAM_EXIT_BAD_SETTINGS };

  for (size_t i = 0; i < sizeof words / sizeof words[0]; i++)
    {
      char *argv[] = { "x", words[i], NULL };
      Sp__EntrydSettings settings = SP__ENTRYD_SETTINGS__INIT;

      CU_ASSERT_EQUAL (
          program_start (&entryd_schema, &settings.base, "test", "test", words[i] ? 2 : 1, argv),
          expected[i]);
    }
}

/* An endpoint is an IP address with a port; host names are rejected. */
static void
test_endpoint (void)
{
  char ip[64];
  uint16_t port;

  CU_ASSERT_EQUAL (settings_parse_endpoint ("127.0.0.1:80", ip, &port), 0);
  CU_ASSERT_STRING_EQUAL (ip, "127.0.0.1");
  CU_ASSERT_EQUAL (port, 80);
  CU_ASSERT (settings_parse_endpoint ("localhost:80", ip, &port) < 0);
  CU_ASSERT (settings_parse_endpoint ("127.0.0.1", ip, &port) < 0);
  CU_ASSERT (settings_parse_endpoint ("127.0.0.1:0", ip, &port) < 0);
}

static const struct suite_test tests[] = {
  { "defaults", test_defaults },   { "order", test_order }, { "refused", test_refused },
  { "fractions", test_fractions }, { "start", test_start }, { "endpoint", test_endpoint },
};

int
main (void)
{
  return suite_run ("settings", tests, sizeof tests / sizeof tests[0]);
}
