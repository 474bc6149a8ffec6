#include <string.h>

#include "common/log.h"
#include "platform/documents.h"
#include "suite.h"

/* The keys of workspaces, and the configurations from which they are decoded. */

enum
{
  LONG_KEY_BYTES = 4096,
};

static const struct workspace_salt salt = { { 7 } };
static GString *lines;

static void
on_line (void *ctx, const char *line)
{
  (void) ctx;
  g_string_append_printf (lines, "%s\n", line);
}

/* Decodes a configuration with the given tenants, and keeps what is logged. */
static struct queue_table *
decode (const char *tenants)
{
  g_autofree char *text = g_strdup_printf ("{\"version\":3,\"routes\":[{\"host\":\"h\","
                                           "\"path_prefix\":\"/p/\",\"service\":\"s\","
                                           "\"public\":true}],\"tenants\":%s}",
                                           tenants);

  g_string_truncate (lines, 0);
  return decode_config (text, strlen (text), &salt);
}

/* Returns the name of the workspace that a key belongs to, or "". */
static const char *
owner (const struct queue_table *table, const char *key)
{
  const struct workspace *workspace = workspace_table_find_key (table->workspaces, key);

  return workspace ? workspace->name : "";
}

/* Each key names its own workspace, and no other string does. */
static void
test_keys (void)
{
  struct queue_table *table =
      decode ("[{\"name\":\"a\",\"api_keys\":[\"key-a1\",\"key-a2\"],\"weight\":0.5,"
              "\"cap\":{\"cpu\":100,\"mem_mb\":200,\"gpu\":3}},"
              "{\"name\":\"b\",\"api_keys\":[\"key-b\"],\"priority\":4}]");
  const struct workspace *a = workspace_table_find (table->workspaces, "a");

  CU_ASSERT_STRING_EQUAL (owner (table, "key-a1"), "a");
  CU_ASSERT_STRING_EQUAL (owner (table, "key-a2"), "a");
  CU_ASSERT_STRING_EQUAL (owner (table, "key-b"), "b");
  CU_ASSERT_STRING_EQUAL (owner (table, "key-a"), "");
  CU_ASSERT_STRING_EQUAL (owner (table, ""), "");
  CU_ASSERT_EQUAL (a->weight, 0.5);
  CU_ASSERT_EQUAL (a->cap.cpu_milli, 100);
  CU_ASSERT_EQUAL (a->cap.memory_mb, 200);
  CU_ASSERT_EQUAL (a->cap.gpus, 3);
  CU_ASSERT_TRUE (((struct job_queue *) g_ptr_array_index (table->queues, 0))->is_public);
  CU_ASSERT_EQUAL (lines->len, 0);
  queue_table_destroy (table);
}

/* Faulty entries are left out alone: the other keys of the workspace, and the configuration, stay.
 * A key in a log line could be used by whoever reads the log. */
static void
test_faulty_entries (void)
{
  g_autofree char *long_key = g_strnfill (LONG_KEY_BYTES, 'k');
  g_autofree char *tenants = g_strdup_printf (
      "[{\"name\":\"a\",\"api_keys\":[\"secret-1\",\"secret-1\",\"secret-2\",\"%s\",5,\"\"]},"
      "{\"name\":\"b\",\"api_keys\":[\"secret-2\",\"secret-3\"],\"weight\":0,"
      "\"cap\":{\"cpu\":-1,\"mem_mb\":10}},"
      "{\"name\":\"a\",\"api_keys\":[\"secret-4\"]},"
      "{\"name\":\"c\",\"api_keys\":[\"secret-2\"]},{\"api_keys\":[\"secret-5\"]}]",
      long_key);
  struct queue_table *table = decode (tenants);
  static const char *const places[] = {
    "place=tenants[0].api_keys[1] ", "place=tenants[0].api_keys[3] ",
    "place=tenants[0].api_keys[4] ", "place=tenants[0].api_keys[5] ",
    "place=tenants[1].api_keys[0] ", "place=tenants[1].weight ",
    "place=tenants[1].cap.cpu ",     "place=tenants[2] ",
    "place=tenants[3].api_keys[0] ", "place=tenants[4] ",
  };
  const struct workspace *b;

  SUITE_REQUIRE (table != NULL);
  b = workspace_table_find (table->workspaces, "b");
  CU_ASSERT_STRING_EQUAL (owner (table, "secret-1"), "a");
  CU_ASSERT_STRING_EQUAL (owner (table, "secret-2"), "");
  CU_ASSERT_STRING_EQUAL (owner (table, "secret-3"), "b");
  CU_ASSERT_STRING_EQUAL (owner (table, "secret-4"), "");
  CU_ASSERT_STRING_EQUAL (owner (table, "secret-5"), "");
  CU_ASSERT_STRING_EQUAL (owner (table, long_key), "");
  CU_ASSERT_EQUAL (b->weight, 1);
  CU_ASSERT_EQUAL (b->cap.cpu_milli, 0);
  CU_ASSERT_EQUAL (b->cap.memory_mb, 10);
  for (size_t i = 0; i < G_N_ELEMENTS (places); i++)
    CU_ASSERT_PTR_NOT_NULL (strstr (lines->str, places[i]));
  CU_ASSERT_PTR_NULL (strstr (lines->str, "secret"));
  CU_ASSERT_PTR_NULL (strstr (lines->str, "kkk"));
  queue_table_destroy (table);
}

/* An entry that can't be read must not turn the check of keys off. */
static void
test_no_usable_workspace (void)
{
  static const char *const none[] = { "[]", "null" };
  static const char *const unusable[] = { "[{\"api_keys\":[\"k\"]}]", "[5]", "{}", "\"a\"" };

  for (size_t i = 0; i < G_N_ELEMENTS (none); i++)
    {
      struct queue_table *table = decode (none[i]);

      CU_ASSERT_TRUE (workspace_table_is_empty (table->workspaces));
      queue_table_destroy (table);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (unusable); i++)
    CU_ASSERT_PTR_NULL (decode (unusable[i]));
}

/* The largest number of keys is found again; one more is left out. */
static void
test_many_keys (void)
{
  struct workspace_table *table = workspace_table_create ();
  const struct workspace *a = workspace_table_add (table, &(struct workspace){ .name = "a" });
  const struct workspace *b = workspace_table_add (table, &(struct workspace){ .name = "b" });
  char key[16];

  workspace_table_set_salt (table, &salt);
  for (unsigned i = 0; i < WORKSPACE_KEYS_MAX; i++)
    {
      g_snprintf (key, sizeof key, "%u", i);
      CU_ASSERT_EQUAL (workspace_table_add_key (table, i % 2 == 0 ? a : b, key),
                       WORKSPACE_KEY_ADDED);
    }
  CU_ASSERT_EQUAL (workspace_table_add_key (table, a, "more"), WORKSPACE_KEY_BEYOND_LIMIT);
  CU_ASSERT_PTR_NULL (workspace_table_find_key (table, "more"));
  CU_ASSERT_EQUAL (workspace_table_add_key (table, b, "0"), WORKSPACE_KEY_SHARED);
  CU_ASSERT_PTR_NULL (workspace_table_find_key (table, "0"));
  for (unsigned i = 1; i < WORKSPACE_KEYS_MAX; i++)
    {
      g_snprintf (key, sizeof key, "%u", i);
      CU_ASSERT_PTR_EQUAL (workspace_table_find_key (table, key), i % 2 == 0 ? a : b);
    }
  workspace_table_destroy (table);
}

static const struct suite_test tests[] = {
  { "keys", test_keys },
  { "faulty entries", test_faulty_entries },
  { "no usable workspace", test_no_usable_workspace },
  { "many keys", test_many_keys },
};

int
main (void)
{
  int status;

  lines = g_string_new (NULL);
  log_init ("test", "info");
  log_set_observer (on_line, NULL);
  status = suite_run ("workspace_keys", tests, G_N_ELEMENTS (tests));
  log_set_observer (NULL, NULL);
  g_string_free (lines, TRUE);
  return status;
}
