#include <stdio.h>
#include <string.h>

#include "platform/config_document.h"
#include "suite.h"

/* Checks of configurations: good, bad, empty, duplicate and large ones. No finding shows a key. */

#define ROUTE                                                                                      \
  "{\"host\":\"h\",\"path_prefix\":\"/a/\",\"service\":\"one\",\"slack_factor\":2,"                \
  "\"target_latency_ms\":600,\"timeout_ms\":1000}"
#define SERVICES "\"services\":[{\"name\":\"one\"},{\"name\":\"spare\",\"standby\":true}]"
#define GOOD                                                                                       \
  "{\"version\":3,\"routes\":[" ROUTE "]," SERVICES ",\n\"tenants\":[\n"                           \
  "{\"name\":\"w1\",\"weight\":2,\"cap\":{\"cpu\":4000},\"api_keys\":[\"SECRET1\"]},\n"            \
  "{\"name\":\"w2\",\"api_keys\":[\"SECRET2\"]}]}"

/* Returns the findings of a text, one a line, as LINE KIND PLACE: TEXT; against another text the
 * differences too. */
static char *
findings_of (const char *text, size_t len, const char *against)
{
  struct config_document *document = config_document_decode (text, len);
  struct config_document *in_force =
      against ? config_document_decode (against, strlen (against)) : NULL;
  GPtrArray *const lists[] = { document->findings, config_findings_create () };
  GString *all = g_string_new (NULL);

  config_check (document, lists[1]);
  if (in_force)
    config_compare (document, in_force, lists[1]);
  for (size_t n = 0; n < G_N_ELEMENTS (lists); n++)
    {
      for (guint i = 0; i < lists[n]->len; i++)
        {
          const struct config_finding *finding = g_ptr_array_index (lists[n], i);
          g_autofree char *place = config_finding_place (finding);

          g_string_append_printf (all, "%u %s %s: %s\n", finding->place.line,
                                  config_finding_kind_name (finding->kind), place, finding->text);
        }
    }
  g_ptr_array_free (lists[1], TRUE);
  config_document_destroy (document);
  config_document_destroy (in_force);
  CU_ASSERT_PTR_NULL (strstr (all->str, "SECRET"));
  return g_string_free (all, FALSE);
}

static void
expect (const char *text, const char *against, const char *expected)
{
  g_autofree char *found = findings_of (text, strlen (text), against);

  if (strstr (found, expected) == NULL || (expected[0] == '\0' && found[0] != '\0'))
    {
      printf ("expected \"%s\", found \"%s\"\n", expected, found);
      CU_FAIL ("another finding");
    }
}

static void
test_good (void)
{
  expect (GOOD, NULL, "");
  expect (GOOD, GOOD, "");
  expect ("{\"version\":1}", NULL, "");
}

/* Syntax errors have their line, and don't show the text near them, which may be a key. */
static void
test_syntax (void)
{
  expect ("", NULL, "error : JSON: ");
  expect ("[]", NULL, "1 error : expected an object");
  expect ("{\"version\":1,\n\"tenants\":[{\"api_keys\":[\"SECRET\" \"SECRET\"]}]}", NULL,
          "2 error : JSON: ");
  expect ("{\"version\":1,\n\"SECRET\n\":2}", NULL, "error : JSON: ");
  expect ("{\"version\":1,\n\"version\":2}", NULL, "2 error : JSON: duplicate");
  expect ("{\"version\":1} SECRET", NULL, "1 error : JSON: ");
}

static void
test_form (void)
{
  expect ("{\"routes\":[]}", NULL, "0 error version: expected an integer");
  expect ("{\"version\":1,\"routes\":{}}", NULL, "0 error : expected a list as routes");
  expect ("{\"version\":1,\n\"routes\":[\n7,\n{\"host\":7}]}", NULL,
          "3 error routes[0]: expected an object");
  expect ("{\"version\":1,\n\"routes\":[\n7,\n{\"host\":7}]}", NULL,
          "4 error routes[1].host: expected a string");
  expect ("{\"version\":1,\"tenants\":[{\"name\":\"w\",\"cap\":{\"cpu\":-1}}]}", NULL,
          "error tenants[0].cap.cpu: expected a number from 0");
  expect ("{\"version\":1,\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"SECRET\",7]}]}", NULL,
          "error tenants[0].api_keys[1]: expected a string");
  expect ("{\"version\":1,\"tenants\":[{\"name\":\"w\",\"api_keys\":\"SECRET\"}]}", NULL,
          "error tenants[0].api_keys: expected a list");
}

static void
test_unused (void)
{
  expect ("{\"version\":1,\"routes\":[" ROUTE ",\n" ROUTE "]," SERVICES "}", NULL,
          "2 unused routes[1].path_prefix: never matches: hidden by the entry 0");
  expect ("{\"version\":1,\"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"SECRET\"]},\n"
          "{\"name\":\"w2\",\"api_keys\":[\"SECRET2\",\"SECRET\"]}]}",
          NULL, "2 unused tenants[1].api_keys[1]: w1 (entry 0) has the same key");
  expect ("{\"version\":1,\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"SECRET\",\"SECRET\"]}]}",
          NULL, "unused tenants[0].api_keys[1]: the workspace has this key twice");
  expect ("{\"version\":1,\"tenants\":[{\"name\":\"w\"}]}", NULL,
          "unused tenants[0].api_keys: the workspace has no key");
  expect ("{\"version\":1,\"services\":[{\"name\":\"a\"},{\"name\":\"a\"}]}", NULL,
          "unused services[1].name: the entry 0 has the same name");
}

static void
test_contradictions (void)
{
  expect ("{\"version\":1,\"tenants\":[{\"name\":\"w\",\"weight\":0,\"cap\":{\"cpu\":1}}]}", NULL,
          "contradiction tenants[0].weight: 0");
  expect ("{\"version\":1,\"tenants\":[{\"name\":\"w\",\"weight\":0,\"cap\":{\"cpu\":1}}]}", NULL,
          "contradiction tenants[0].cap.cpu: 1");
  expect ("{\"version\":1," SERVICES ",\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\","
          "\"service\":\"one\",\"target_latency_ms\":5,\"timeout_ms\":4}]}",
          NULL, "contradiction routes[0].target_latency_ms: 5 ms is above");
  expect ("{\"version\":1," SERVICES ",\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\","
          "\"service\":\"spare\"}]}",
          NULL, "contradiction routes[0].service: the entry 1");
  expect ("{\"version\":1,\"routes\":[" ROUTE "]}", NULL, "error routes[0].service: expected");
}

static void
test_differences (void)
{
  static const char other[] =
      "{\"version\":4,\"routes\":[{\"host\":\"H\",\"path_prefix\":\"/a/\",\"service\":\"one\","
      "\"slack_factor\":2,\"target_latency_ms\":700,\"timeout_ms\":1000,\"public\":true},\n"
      "{\"host\":\"h\",\"path_prefix\":\"/b/\",\"service\":\"one\"}]," SERVICES ",\"tenants\":["
      "{\"name\":\"w1\",\"weight\":2,\"cap\":{\"cpu\":5000},\"api_keys\":[\"SECRET3\"]}]}";

  expect (other, GOOD, "changed routes[0].target_latency_ms: 700, was 600");
  expect (other, GOOD, "changed routes[0].public: true, was false");
  expect (other, GOOD, "2 added routes[1]: h/b/");
  expect (other, GOOD, "changed tenants[0].cap.cpu: 5000, was 4000");
  expect (other, GOOD, "changed tenants[0].api_keys: 1 keys added to w1");
  expect (other, GOOD, "1 keys removed from w1: calls with them get 401");
  expect (other, GOOD, "removed tenants[1]: workspace w2");
  expect (GOOD, other, "removed routes[1]: h/b/");
}

/* 10 MB are checked, with a line for each entry, and without more findings for one list of keys
 * than can be read. */
static void
test_large (void)
{
  GString *text = g_string_new ("{\"version\":1," SERVICES ",\"tenants\":[\n{\"name\":\"w\","
                                "\"api_keys\":[");
  g_autofree char *found = NULL;
  unsigned n = 0;

  for (unsigned i = 0; i < 30000; i++)
    g_string_append_printf (text, "%s\"SECRET\"", i > 0 ? "," : "");
  g_string_append (text, "]}],\"routes\":[\n");
  for (; text->len < 10000000; n++)
    g_string_append_printf (text, "%s{\"host\":\"h\",\"path_prefix\":\"/%u/\",\"service\":\"one\"}",
                            n > 0 ? ",\n" : "", n);
  g_string_append (text, ",\n{}]}");
  found = findings_of (text->str, text->len, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (found, "expected 20000 keys at most, found 30000"));
  CU_ASSERT_PTR_NOT_NULL (strstr (found, "29994 more keys"));
  {
    g_autofree char *last = g_strdup_printf ("%u error routes[%u].host", n + 3, n);

    CU_ASSERT_PTR_NOT_NULL (strstr (found, last));
  }
  CU_ASSERT (strlen (found) < 2000);
  g_string_free (text, TRUE);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "good", test_good },
    { "syntax", test_syntax },
    { "form", test_form },
    { "unused", test_unused },
    { "contradictions", test_contradictions },
    { "differences", test_differences },
    { "large", test_large },
  };

  return suite_run ("config_check", tests, sizeof tests / sizeof tests[0]);
}
