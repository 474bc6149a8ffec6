#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/command.h"
#include "platform/config_document.h"

/* A file that is checked. */
struct config_file
{
  const char *path;
  struct config_document *document;
};

/* Reads a configuration. Returns false after printing an error if the file can't be read. */
static bool
config_file_read (struct config_file *file, const char *path)
{
  g_autoptr (GError) problem = NULL;
  g_autofree char *text = NULL;
  gsize len;

  file->path = path;
  if (!g_file_get_contents (path, &text, &len, &problem))
    {
      fprintf (stderr, "sesamepick: %s\n", problem->message);
      return false;
    }
  file->document = config_document_decode (text, len);
  return true;
}

static json_t *
finding_to_json (const char *path, const struct config_finding *finding)
{
  g_autofree char *place = config_finding_place (finding);

  return json_pack ("{s:s,s:s,s:I,s:s,s:s}", "kind", config_finding_kind_name (finding->kind),
                    "file", path, "line", (json_int_t) finding->place.line, "place", place, "text",
                    finding->text);
}

/* Adds findings to a JSON list, or prints them as FILE:LINE: KIND: PLACE: TEXT if it is NULL. */
static void
findings_show (const char *path, const GPtrArray *findings, json_t *list)
{
  for (guint i = 0; i < findings->len; i++)
    {
      const struct config_finding *finding = g_ptr_array_index (findings, i);
      g_autofree char *place = config_finding_place (finding);

      if (list)
        {
          json_array_append_new (list, finding_to_json (path, finding));
          continue;
        }
      printf ("%s:", path);
      if (finding->place.line > 0)
        printf ("%u:", finding->place.line);
      printf (" %s: %s%s%s\n", config_finding_kind_name (finding->kind), place,
              place[0] ? ": " : "", finding->text);
    }
}

/* Shows what was found and what differs. Returns the exit code. Differences alone are no findings:
 * a new version always has some. */
static enum exit_code
config_show (const struct command_context *context, const struct config_file *file,
             const struct config_file *in_force)
{
  g_autoptr (GPtrArray) findings = config_findings_create ();
  g_autoptr (GPtrArray) differences = config_findings_create ();
  json_t *list = context->json ? json_array () : NULL;
  json_t *changes = context->json ? json_array () : NULL;
  guint n;

  config_check (file->document, findings);
  if (in_force->document)
    config_compare (file->document, in_force->document, differences);
  findings_show (file->path, file->document->findings, list);
  findings_show (file->path, findings, list);
  n = file->document->findings->len + findings->len;
  if (in_force->document)
    {
      findings_show (in_force->path, in_force->document->findings, list);
      n += in_force->document->findings->len;
    }
  findings_show (file->path, differences, changes);
  if (context->json)
    {
      json_t *answer = json_pack ("{s:s,s:I,s:o,s:o}", "file", file->path, "version",
                                  (json_int_t) file->document->version, "findings", list,
                                  "differences", changes);

      command_print (context, answer, NULL);
      json_decref (answer);
    }
  return n == 0 ? EXIT_CODE_DONE : EXIT_CODE_REFUSED;
}

/* Checks a configuration file, and compares it with the one in force if that is given. Makes no
 * call. */
enum exit_code
command_config (const struct command_context *context)
{
  struct config_file file = { 0 };
  struct config_file in_force = { 0 };
  enum exit_code code = EXIT_CODE_USAGE;

  if (strcmp (context->operands[0], "check") != 0)
    {
      fprintf (stderr, "sesamepick: \"%s\" is not check\n", context->operands[0]);
      return EXIT_CODE_USAGE;
    }
  if (config_file_read (&file, context->operands[1]) &&
      (context->against[0] == '\0' || config_file_read (&in_force, context->against)))
    code = config_show (context, &file, &in_force);
  config_document_destroy (file.document);
  config_document_destroy (in_force.document);
  return code;
}
